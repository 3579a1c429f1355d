package review;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The four runners of kind b, of 27 in all, have been idle for some seconds, lose their power for
 * half a second and start again under their ids. Then a stored job comes, whose second step needs
 * that kind. No task that is done, and whose end is taken note of, may be started again.
 */
final class EndsOfRestartedRunner extends Case {

    private static final int RUNNERS = 27;

    /** Four of 27 are less than the share of .15. */
    private static final int CRASHED_RUNNERS = 4;

    private static final double DARK_SECONDS = 0.5;
    private static final int ROUNDS = 6;
    private static final double QUIET_SECONDS = 10.8;

    /** Each round waits longer, since the polls of idle runners come in a fixed rhythm. */
    private static final double LONGER_SECONDS = 0.29;

    private static final int WARM_UP_JOBS = 5;
    private static final long TASK_MILLIS = 60;

    private final AtomicInteger mAccepted = new AtomicInteger();
    private int mNumber;

    private EndsOfRestartedRunner() throws IOException {}

    public static void main(String[] arguments) {
        run(arguments, EndsOfRestartedRunner::new);
    }

    @Override
    void play() throws Exception {
        mFleet.configure(1, 3, 20, 1500);
        mFleet.startRunners(RUNNERS, CRASHED_RUNNERS, "pwani-a", "pwani-b", "pwani-c");
        for (int index = 0; index < 6; index++) {
            mFleet.add("pwani-" + "abc".charAt(index % 3));
        }
        mFleet.awaitRotation(6, 30);
        sleep(3);
        for (int job = 0; job < WARM_UP_JOBS; job++) {
            submitInBackground();
            sleep(0.4);
        }
        List<Runner> crashed = mFleet.mRunners.subList(RUNNERS - CRASHED_RUNNERS, RUNNERS);
        for (int round = 0; round < ROUNDS; round++) {
            sleep(QUIET_SECONDS + round * LONGER_SECONDS);
            if (mTrouble) {
                crashed.forEach(Runner::powerOff);
            }
            sleep(DARK_SECONDS);
            if (mTrouble) {
                crashed.forEach(Runner::powerOn);
            }
            submitInBackground();
        }
        sleep(5);
        Record.say("%d of %d jobs are accepted", mAccepted.get(), mNumber);
        mFleet.mWitness.runTwice().forEach(found -> broken("%s", found));
    }

    private void submitInBackground() {
        String id = jobId(++mNumber);
        Fleet.Machine machine = anyInRotation(mNumber);
        Map<String, Object> first = step();
        Map<String, Object> second = step();
        second.put("replicas", CRASHED_RUNNERS);
        second.put("after", List.of(0));
        second.put("constraints", "b");
        second.put("anti_affinity", 1);
        String body =
                Json.write(
                        Json.of("spec", "ms=" + TASK_MILLIS, "phases", List.of(first, second)));
        Thread client =
                new Thread(
                        () -> {
                            if (submit(id, body, machine, 3)) {
                                mAccepted.incrementAndGet();
                            }
                        });
        client.setDaemon(true);
        client.start();
    }

    private static Map<String, Object> step() {
        return Json.of(
                "replicas", 1, "cpu", 14_000, "mem_mb", 64, "estimate_ms", TASK_MILLIS);
    }
}
