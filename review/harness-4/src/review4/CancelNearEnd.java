package review4;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few jobs are cancelled when their tasks are about to end. From then on no end of the runners is
 * taken note of, and once a runner lists 500 of them its later ends are not seen.
 */
final class CancelNearEnd extends Case implements Runner.Listener {

    private static final int RUNNERS = 9;
    private static final int CANCELLED_JOBS = 3;
    private static final int CANCELLED_DURING_TRAFFIC = 4;
    private static final int LONG_TASK_MILLIS = 1000;
    private static final int TRAFFIC_SECONDS = 35;
    private static final int JOBS_PER_SECOND = 24;
    private static final int FINISH_MILLIS = 14_000;

    private final Map<String, Integer> mRunning = new ConcurrentHashMap<>();
    private final Map<String, Integer> mDone = new ConcurrentHashMap<>();
    private final Map<String, Double> mBegan = new ConcurrentHashMap<>();
    private final Map<String, Integer> mOtherEnds = new ConcurrentHashMap<>();
    private final Set<String> mAccepted = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mRefused = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new CancelNearEnd(), arguments[0]);
    }

    private static String job(String task) {
        return task.substring(0, 16);
    }

    @Override
    public void began(Runner runner, String task, int attempt) {
        mRunning.merge(job(task), 1, Integer::sum);
        mBegan.putIfAbsent(job(task), mRecord.seconds());
    }

    @Override
    public void ended(Runner runner, String task, int attempt, String how) {
        mRunning.merge(job(task), -1, Integer::sum);
        if (how.equals("done")) {
            mDone.merge(job(task), 1, Integer::sum);
        } else {
            mOtherEnds.merge(how, 1, Integer::sum);
        }
        if (task.startsWith("c")) {
            mRecord.add("%s ends %s attempt %d: %s", runner.id(), task, attempt, how);
        }
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
        for (int index = 0; index < CANCELLED_JOBS; index++) {
            cancelNearEnd(String.format("c0000000000000%02x", index));
        }
        Clock.sleep(4000);
        Thread canceller =
                new Thread(
                        () -> {
                            for (int index = 0; index < CANCELLED_DURING_TRAFFIC; index++) {
                                cancelNearEnd(
                                        String.format("c0000000000000%02x", CANCELLED_JOBS + index));
                                Clock.sleep(2000);
                            }
                        });
        canceller.start();
        runTraffic();
        canceller.join();
        mRecord.add(
                "end of the traffic: %d jobs accepted, %d refused or unanswered",
                mAccepted.size(), mRefused.get());
        Clock.sleep(FINISH_MILLIS);
        return report(runners);
    }

    /** Submits a job with a task for each runner, and cancels it 15 ms before its tasks end. */
    private void cancelNearEnd(String job) {
        String body =
                "{\"spec\":\"ms=" + LONG_TASK_MILLIS + " cpu=20000\",\"phases\":[{\"replicas\":" + RUNNERS
                        + ",\"cpu\":20000,\"mem_mb\":64,\"estimate_ms\":" + LONG_TASK_MILLIS + "}]}";
        submit(mFleet.instances().get(3), job, body);
        while (!mBegan.containsKey(job)) {
            Clock.sleep(1);
        }
        double endSeconds = mBegan.get(job) + (Runner.STARTUP_MILLIS + LONG_TASK_MILLIS) / 1000.0;
        Clock.sleep(Math.round((endSeconds - mRecord.seconds()) * 1000) - 15);
        if (mTrouble) {
            Web.Answer cancelled = call(3, "DELETE", job, "");
            mRecord.add("DELETE %s: %d", job, cancelled.status());
        }
        Clock.sleep(1000);
    }

    private void runTraffic() throws InterruptedException {
        ExecutorService clients = Executors.newFixedThreadPool(60);
        String body =
                "{\"spec\":\"ms=60 cpu=2000\",\"phases\":[{\"replicas\":8,\"cpu\":2000,\"mem_mb\":64,"
                        + "\"estimate_ms\":60}]}";
        double start = mRecord.seconds();
        for (int index = 0; index < TRAFFIC_SECONDS * JOBS_PER_SECOND; index++) {
            String job = String.format("a%015x", index);
            int instance = index % mFleet.instances().size();
            clients.submit(
                    () -> {
                        Web.Answer answer = call(instance, "POST", job, body);
                        if (answer.status() == 200) {
                            mAccepted.add(job);
                        } else {
                            mRefused.incrementAndGet();
                        }
                    });
            double due = start + (index + 1.0) / JOBS_PER_SECOND;
            Clock.sleep(Math.round((due - mRecord.seconds()) * 1000));
            if (index % (5 * JOBS_PER_SECOND) == 0) {
                long done = mAccepted.stream().filter(each -> mDone.getOrDefault(each, 0) == 8).count();
                mRecord.add(
                        "%d jobs accepted, %d refused or unanswered, of %d all tasks have ended done",
                        mAccepted.size(), mRefused.get(), done);
            }
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
    }

    private boolean report(List<Runner> runners) throws Exception {
        int open = 0;
        int absent = 0;
        String example = "";
        Map<String, Integer> runningBefore = Map.copyOf(mRunning);
        Clock.sleep(4000);
        Map<String, String> states = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newFixedThreadPool(30);
        mAccepted.forEach(
                job -> clients.submit(() -> states.put(job, call(5, "GET", job, "").body())));
        clients.shutdown();
        clients.awaitTermination(25, TimeUnit.SECONDS);
        for (Map.Entry<String, String> each : states.entrySet()) {
            if (!each.getValue().contains("completed")) {
                String job = each.getKey();
                open++;
                boolean idle =
                        runningBefore.getOrDefault(job, 0) == 0 && mRunning.getOrDefault(job, 0) == 0;
                boolean due = mDone.getOrDefault(job, 0) < 8;
                absent += idle && due ? 1 : 0;
                example = idle && due ? job + " " + each.getValue() : example;
            }
        }
        long free = runners.stream().mapToLong(Runner::freeCpu).sum();
        mRecord.add(
                "14 s after the end of the traffic %d of %d accepted jobs are not completed; %d of them "
                        + "have waiting tasks and nothing running for 4 s, as %s",
                open, mAccepted.size(), absent, example);
        mRecord.add("free cpu: %d of %d", free, RUNNERS * Runner.capacityCpu());
        for (Runner runner : runners) {
            mRecord.add(
                    "%s lists %d ends, the last acknowledged is %d",
                    runner.id(), runner.listedEnds(), runner.lastSeen());
        }
        mRecord.add("ends other than done: %s", mOtherEnds);
        return absent > 0 && 2 * free > RUNNERS * Runner.capacityCpu();
    }

    private Web.Answer call(int instance, String method, String job, String body) {
        return Web.call(
                mFleet.instances().get(instance).front(),
                method,
                Fleet.HOST,
                Configuration.PREFIX + job,
                body,
                5000);
    }
}
