package org.wagtailproxy.adapter;

import java.nio.file.Path;

/** Runs one case: {@code ReviewCase NUMBER RECORD}. Exits with 1 if the rule was broken. */
public final class ReviewCase {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int CANNOT_RUN = 2;
    private static final long LIMIT_MILLIS = 115_000;

    private ReviewCase() {}

    /** What a case does with its deployment. */
    interface Scenario {

        /**
         * Plays the case and adds the breaks to the record.
         *
         * @param trouble false to leave out the disruption
         */
        void play(ReviewFleet fleet, ReviewRecord record, boolean trouble) throws Exception;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Scenario scenario =
                switch (arguments[0]) {
                    case "twice" -> new ZoneCutScenario();
                    case "majorities" -> new TwoMajoritiesScenario();
                    case "silent" -> new SilentStoreScenario();
                    case "stop" -> new RollingStopScenario();
                    case "majority" -> new MajorityLossScenario();
                    default -> throw new IllegalArgumentException(arguments[0]);
                };
        limitTime();
        int status;
        try (ReviewRecord record = new ReviewRecord(Path.of(arguments[1]))) {
            record.write("trouble " + trouble);
            try (ReviewFleet fleet = ReviewFleet.create(record)) {
                // Also if this process is ended from outside, none of its processes stays.
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::killAll));
                scenario.play(fleet, record, trouble);
                status = record.breaks() > 0 ? BROKEN : HELD;
            } catch (Exception failure) {
                record.write("cannot run: " + failure);
                failure.printStackTrace();
                status = CANNOT_RUN;
            }
            record.write("exit " + status + ", breaks " + record.breaks());
            System.out.println("exit " + status + ", breaks " + record.breaks());
        }
        System.exit(status);
    }

    private static void limitTime() {
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(LIMIT_MILLIS);
                            } catch (InterruptedException interrupted) {
                                return;
                            }
                            System.exit(CANNOT_RUN);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
    }
}
