package org.wagtailproxy.adapter;

import java.nio.file.Path;

/**
 * The scene of the third review with silent connections to the store, on 32 runners instead of 12, so
 * that the two that drain are a share of 0.0625. Rule DRAIN.
 */
public final class SilentStoreCase {

    private static final int FURTHER_RUNNERS = 20;

    private SilentStoreCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (ReviewRecord record = new ReviewRecord(Path.of(arguments[0]))) {
            record.write("trouble " + trouble);
            try {
                playScene(record, trouble);
                status = record.breaks() > 0 ? 10 : 0;
            } catch (Exception failure) {
                record.write("cannot run: " + failure);
                failure.printStackTrace();
            }
            record.write("exit " + status + ", breaks " + record.breaks());
            System.out.println("exit " + status + ", breaks " + record.breaks());
        }
        System.exit(status);
    }

    private static void playScene(ReviewRecord record, boolean trouble) throws Exception {
        try (ReviewFleet fleet = ReviewFleet.create(record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::killAll));
            for (int index = 0; index < FURTHER_RUNNERS; index++) {
                String zone = "pwani-" + "abc".charAt(index % 3);
                // The scene drains the first two of all, which are also the first by id and get most
                // tasks.
                fleet.addRunner(String.format("i-6f3a91%02d", index), zone, "a", "r1-" + index % 3);
            }
            new SilentStoreScenario().play(fleet, record, trouble);
        }
    }
}
