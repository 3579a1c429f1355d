package review4;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Two tasks that last fail once, on two runners, and are not started again. */
final class LastingTasksFail extends Case implements Runner.Listener {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int RUNNERS = 9;
    private static final int TASK_CPU = 14_000;

    /** From 6 s after its last run, 3 s, and the 4 s before them: 13 s, and two more for the clock. */
    private static final double ABSENT_SECONDS = 15;

    private final Map<String, Double> mEnded = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        run(new LastingTasksFail(), arguments[0]);
    }

    @Override
    public void began(Runner runner, String task, int attempt) {
        mEnded.remove(task);
        mRecord.add("%s begins %s attempt %d", runner.id(), task, attempt);
    }

    @Override
    public void ended(Runner runner, String task, int attempt, String how) {
        mEnded.put(task, mRecord.seconds());
        mRecord.add("%s ends %s attempt %d: %s", runner.id(), task, attempt, how);
    }

    @Override
    boolean isBroken() throws Exception {
        List<Runner> runners = new ArrayList<>();
        for (int index = 0; index < RUNNERS; index++) {
            String zone = "pwani-" + "abc".charAt(index % 3);
            runners.add(new Runner("w-" + index, "booking-desk", zone, "a", mStore, this));
        }
        mStore.put("op/config", Configuration.of(1, "booking-desk", "booking-desk"));
        mFleet.start();
        int tasks = 2 * RUNNERS;
        String body =
                "{\"spec\":\"ms=0 cpu=" + TASK_CPU + "\",\"long_running\":true,\"phases\":[{\"replicas\":"
                        + tasks + ",\"cpu\":" + TASK_CPU + ",\"mem_mb\":64,\"estimate_ms\":1000}]}";
        submit(mFleet.instances().get(4), JOB, body);
        for (int waited = 0; running(runners).size() < tasks; waited++) {
            if (waited > 150) {
                throw new IllegalStateException("not all tasks were started");
            }
            Clock.sleep(100);
        }
        mRecord.add("%d tasks run", tasks);
        Clock.sleep(8000);
        Set<String> failed = new HashSet<>();
        if (mTrouble) {
            for (Runner runner : runners.subList(0, 2)) {
                String task = runner.running().get(0);
                failed.add(task);
                runner.fail(task);
                Clock.sleep(1000);
            }
        }
        for (int second = 0; second < 25; second++) {
            Clock.sleep(1000);
            for (String task : failed) {
                Double ended = mEnded.get(task);
                if (ended != null && mRecord.seconds() - ended > ABSENT_SECONDS) {
                    report(runners);
                    return true;
                }
            }
        }
        report(runners);
        return !running(runners).containsAll(failed) || running(runners).size() < tasks;
    }

    private static Set<String> running(List<Runner> runners) {
        Set<String> running = new HashSet<>();
        runners.forEach(runner -> running.addAll(runner.running()));
        return running;
    }

    private void report(List<Runner> runners) {
        mEnded.forEach(
                (task, ended) ->
                        mRecord.add(
                                "%s has not run for %.1f s", task, mRecord.seconds() - ended));
        Map<String, Long> free = new HashMap<>();
        runners.forEach(runner -> free.put(runner.id(), runner.freeCpu()));
        mRecord.add("free cpu of the runners, of %d each: %s", Runner.capacityCpu(), free);
        Web.Answer state =
                Web.call(
                        mFleet.instances().get(1).front(),
                        "GET",
                        Fleet.HOST,
                        Configuration.PREFIX + JOB,
                        "",
                        3000);
        mRecord.add("GET %s: %d %s", JOB, state.status(), state.body());
    }
}
