package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Stored jobs of tasks whose first two runs end as failed and whose third one is done, on a queue
 * that allows three failed runs. The machine that leads is killed five times, one at a time. No job may be shown
 * as failed.
 */
final class FailuresCountedTwice extends Case {

    private static final int MAX_ATTEMPTS = 3;
    private static final int TASKS = 8;
    private static final double SUBMIT_SECONDS = 50;
    private static final double PAUSE_SECONDS = 0.1;
    private static final double[] KILLS = {8, 17, 26, 35, 44};
    private static final double FINISH_SECONDS = 14;

    private FailuresCountedTwice() throws IOException {}

    public static void main(String[] arguments) {
        run(arguments, FailuresCountedTwice::new);
    }

    @Override
    void play() throws Exception {
        mFleet.configure(1, MAX_ATTEMPTS, 20, 1500);
        mFleet.startRunners(16, 0, "pwani-a", "pwani-b", "pwani-c");
        for (int index = 0; index < 6; index++) {
            mFleet.add("pwani-" + "abc".charAt(index % 3));
        }
        mFleet.awaitRotation(6, 30);
        sleep(3);
        Thread killer = new Thread(this::killLeaders);
        killer.setDaemon(true);
        if (mTrouble) {
            killer.start();
        }
        List<Thread> clients = new ArrayList<>();
        List<String> accepted = new ArrayList<>();
        double start = Record.now();
        for (int number = 1; Record.now() - start < SUBMIT_SECONDS; number++) {
            String id = jobId(number);
            Fleet.Machine first = anyInRotation(number);
            Thread client =
                    new Thread(
                            () -> {
                                if (submit(id, job("ms=60 fail=2", TASKS, 14_000, 60), first, 6)) {
                                    synchronized (accepted) {
                                        accepted.add(id);
                                    }
                                }
                            });
            client.setDaemon(true);
            client.start();
            clients.add(client);
            sleep(PAUSE_SECONDS);
        }
        for (Thread client : clients) {
            client.join();
        }
        Record.say("%d jobs are accepted", accepted.size());
        judge(accepted);
    }

    private void killLeaders() {
        double start = Record.now();
        for (double at : KILLS) {
            sleep(start + at - Record.now());
            mFleet.kill(mFleet.leader());
        }
    }

    private void judge(List<String> accepted) {
        Set<String> open = new HashSet<>(accepted);
        double end = Record.now() + FINISH_SECONDS;
        int completed = 0;
        while (!open.isEmpty() && Record.now() < end) {
            for (String id : List.copyOf(open)) {
                String state = state(id, anyInRotation(id.hashCode()));
                if (state.equals("completed")) {
                    completed++;
                    open.remove(id);
                } else if (state.equals("failed")) {
                    open.remove(id);
                    int most = 0;
                    for (int index = 0; index < TASKS; index++) {
                        String task = id + ".0.0." + index;
                        most = Math.max(most, mFleet.mWitness.count(task, "failed"));
                    }
                    if (most < MAX_ATTEMPTS) {
                        broken(
                                "job %s is shown as failed, but no task of it has failed more than"
                                        + " %d times of %d",
                                id, most, MAX_ATTEMPTS);
                    }
                }
            }
            sleep(0.3);
        }
        Record.say("%d completed, %d without an end", completed, open.size());
    }
}
