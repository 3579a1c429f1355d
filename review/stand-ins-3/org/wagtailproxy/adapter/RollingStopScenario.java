package org.wagtailproxy.adapter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The three instances of a zone are stopped with SIGTERM in turn, 1.2 s apart, and started again,
 * several times. New connections go to the instances in rotation; while fewer than half of them
 * are, to all. Rule LOST: no connection ends without a whole answer once the job has been passed
 * on to a runner.
 */
final class RollingStopScenario implements ReviewCase.Scenario {

    private static final int ROUNDS = 8;
    private static final long GAP_MILLIS = 1200;
    private static final int PATIENCE_MILLIS = 1500;
    private final Random mRandom = new Random(11);
    private final Map<ReviewFleet.Instance, Integer> mMisses = new ConcurrentHashMap<>();
    private final List<String> mBroken = new ArrayList<>();
    private volatile boolean mOver;

    @Override
    public void play(ReviewFleet fleet, ReviewRecord record, boolean trouble) throws Exception {
        for (int index = 0; index < 6; index++) {
            fleet.addRunner("i-7f3a91c" + index, "pwani-a", "a", "r1-" + index % 2);
        }
        for (int index = 1; index <= 3; index++) {
            fleet.addInstance("front-pwani-a-" + index, "pwani-a");
        }
        fleet.start();
        ExecutorService clients = Executors.newCachedThreadPool();
        fleet.instances().forEach(each -> clients.execute(() -> probe(each)));
        Thread source = new Thread(() -> handIn(clients, fleet, record));
        source.setDaemon(true);
        source.start();
        TimeUnit.MILLISECONDS.sleep(3000);
        for (int round = 0; round < ROUNDS; round++) {
            if (trouble) {
                for (int next = 0; next < 3; next++) {
                    fleet.instances().get((round + next) % 3).terminate();
                    TimeUnit.MILLISECONDS.sleep(GAP_MILLIS);
                }
            }
            TimeUnit.MILLISECONDS.sleep(7400);
        }
        mOver = true;
        TimeUnit.MILLISECONDS.sleep(2000);
        check(record);
    }

    /** Asks an instance once per second whether it is ready. */
    private void probe(ReviewFleet.Instance instance) {
        while (!mOver) {
            boolean ready = ReviewFleet.isReady(instance, 900);
            mMisses.merge(instance, 1, (misses, one) -> ready ? 0 : misses + one);
            if (ready) {
                mMisses.put(instance, 0);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(1000);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private ReviewFleet.Instance choose(ReviewFleet fleet) {
        List<ReviewFleet.Instance> all = fleet.instances();
        List<ReviewFleet.Instance> inRotation = new ArrayList<>();
        for (ReviewFleet.Instance instance : all) {
            if (mMisses.getOrDefault(instance, 0) < 2) {
                inRotation.add(instance);
            }
        }
        List<ReviewFleet.Instance> used = 2 * inRotation.size() < all.size() ? all : inRotation;
        return used.get(mRandom.nextInt(used.size()));
    }

    private void handIn(ExecutorService clients, ReviewFleet fleet, ReviewRecord record) {
        String body = ReviewLoad.job(",\"best_effort\":true", 2, 2000, 100, "");
        while (!mOver) {
            ReviewFleet.Instance instance = choose(fleet);
            clients.execute(() -> send(instance, body, record));
            try {
                TimeUnit.MILLISECONDS.sleep(10);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void send(ReviewFleet.Instance instance, String body, ReviewRecord record) {
        String id = ReviewClient.newId();
        record.write("POST " + id + " to " + instance.name());
        ReviewClient.Answer answer =
                ReviewClient.send(
                        instance.front(), "POST", ReviewFleet.PREFIX + id, body, PATIENCE_MILLIS);
        record.write("answer to POST " + id + ": " + answer);
        if (answer.failure().startsWith("broken off")) {
            synchronized (mBroken) {
                mBroken.add(id);
            }
        }
    }

    private void check(ReviewRecord record) {
        Map<String, ReviewRecord.Run> firstRuns = new HashMap<>();
        for (List<ReviewRecord.Run> runs : record.runs()) {
            firstRuns.put(runs.get(0).mTask.substring(0, 16), runs.get(0));
        }
        synchronized (mBroken) {
            for (String id : mBroken) {
                if (firstRuns.containsKey(id)) {
                    record.addBreak("LOST: no answer to " + id + ", " + firstRuns.get(id));
                }
            }
        }
    }
}
