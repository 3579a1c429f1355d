package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stored jobs come steadily. About a second after the first one the machine that leads is killed.
 * No task that is done, and whose end is taken note of, may be started again. The same scene is
 * played on several fleets, one after the other.
 */
final class EndsDiscardedByNewLeader extends Case {

    private static final int SCENES = 12;

    /** Time after which no scene begins any more, on a slow machine. */
    private static final double LAST_START_SECONDS = 98;

    private static final double KILL_SECONDS = 0.9;
    private static final double TRAFFIC_SECONDS = 1.5;

    /** Covers the leases of the former leader's runs, after which tasks are started again. */
    private static final double AFTER_SECONDS = 3.4;

    private static final double PAUSE_SECONDS = 0.08;
    private static final int TASKS = 8;

    private final AtomicInteger mAccepted = new AtomicInteger();
    private int mNumber;

    private EndsDiscardedByNewLeader() throws IOException {}

    public static void main(String[] arguments) {
        run(arguments, EndsDiscardedByNewLeader::new);
    }

    @Override
    void play() throws Exception {
        for (int scene = 0; scene < SCENES && Record.now() < LAST_START_SECONDS; scene++) {
            if (scene > 0) {
                mFleet = new Fleet(scene);
            }
            playScene();
            mFleet.mWitness.runTwice().forEach(found -> broken("%s", found));
            mFleet.close();
        }
        Record.say("%d of %d jobs are accepted", mAccepted.get(), mNumber);
    }

    private void playScene() throws Exception {
        mFleet.configure(1, 3, 20, 1500);
        mFleet.startRunners(14, 0, "pwani-a", "pwani-b", "pwani-c");
        for (int index = 0; index < 6; index++) {
            mFleet.add("pwani-" + "abc".charAt(index % 3));
        }
        mFleet.awaitRotation(6, 30);
        sleep(1.5);
        double start = Record.now();
        boolean killed = !mTrouble;
        while (Record.now() < start + TRAFFIC_SECONDS) {
            submitInBackground();
            sleep(PAUSE_SECONDS);
            if (!killed && Record.now() > start + KILL_SECONDS) {
                mFleet.kill(mFleet.leader());
                killed = true;
            }
        }
        sleep(AFTER_SECONDS);
    }

    private void submitInBackground() {
        String id = jobId(++mNumber);
        Fleet.Machine machine = anyInRotation(mNumber);
        Thread client =
                new Thread(
                        () -> {
                            if (submit(id, job("ms=100", TASKS, 14_000, 100), machine, 3)) {
                                mAccepted.incrementAndGet();
                            }
                        });
        client.setDaemon(true);
        client.start();
    }
}
