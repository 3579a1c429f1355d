package org.wagtailproxy.integration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.Cluster.Entry;

/**
 * Open-loop load: submits jobs at random times, at a mean rate that does not depend on the answers,
 * with a burst at the end of every 20 seconds.
 */
final class OpenLoopLoad {

    private static final int BURST_INTERVAL_SECONDS = 20;
    private static final int BURST_SECONDS = 1;
    private static final double NETWORK_MILLISECONDS = 1;

    private final Cluster mCluster;
    private final double mSteadyRate;
    private final double mBurstRate;
    private final SplittableRandom mRandom;
    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final ConcurrentLinkedQueue<Double> mLatencyRatios = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mTaskCount = new AtomicInteger();
    private final AtomicInteger mRefusedJobs = new AtomicInteger();
    private final AtomicInteger mFailedJobs = new AtomicInteger();
    private final AtomicInteger mCompleteJobs = new AtomicInteger();
    private long mElapsedNanos;

    OpenLoopLoad(Cluster cluster, double steadyRate, double burstRate, long seed) {
        mCluster = cluster;
        mSteadyRate = steadyRate;
        mBurstRate = burstRate;
        mRandom = new SplittableRandom(seed);
    }

    /** Submits jobs for the given time, then waits for their ends. */
    void run(int seconds) throws InterruptedException {
        long startNanos = System.nanoTime();
        double dueSeconds = 0;
        int number = 0;
        while (dueSeconds < seconds) {
            boolean inBurst =
                    dueSeconds % BURST_INTERVAL_SECONDS > BURST_INTERVAL_SECONDS - BURST_SECONDS;
            double jobRate = (inBurst ? mBurstRate : mSteadyRate) / LoadShape.meanTasksPerJob();
            dueSeconds += -Math.log(1 - mRandom.nextDouble()) / jobRate;
            List<Integer> taskMilliseconds = LoadShape.drawTaskMilliseconds(mRandom);
            Entry entry = mCluster.entry(mRandom.nextInt(mCluster.entries().size()));
            String body = jobDocument(taskMilliseconds);
            String key = "open" + number++;
            long dueNanos = startNanos + (long) (dueSeconds * 1e9);
            long waitNanos = dueNanos - System.nanoTime();
            if (waitNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(waitNanos);
            }
            mExecutor.execute(() -> runJob(entry, key, body, taskMilliseconds));
        }
        mExecutor.shutdown();
        mExecutor.awaitTermination(120, TimeUnit.SECONDS);
        mElapsedNanos = System.nanoTime() - startNanos;
    }

    double[] sortedLatencyRatios() {
        return mLatencyRatios.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    int taskCount() {
        return mTaskCount.get();
    }

    int refusedJobs() {
        return mRefusedJobs.get();
    }

    int failedJobs() {
        return mFailedJobs.get();
    }

    int completeJobs() {
        return mCompleteJobs.get();
    }

    double elapsedSeconds() {
        return mElapsedNanos / 1e9;
    }

    private void runJob(Entry entry, String key, String body, List<Integer> taskMilliseconds) {
        try {
            String name = mCluster.caller().fetchSession(entry) + "." + key;
            Answer accepted = mCluster.caller().submit(entry, name, body);
            if (accepted.status() != 202) {
                mRefusedJobs.incrementAndGet();
                return;
            }
            Answer end = mCluster.caller().get(entry, name, 30_000);
            while (!end.hasEnded()) {
                end = mCluster.caller().get(entry, name, 30_000);
            }
            (end.state().equals("complete") ? mCompleteJobs : mFailedJobs).incrementAndGet();
            Answer trace = mCluster.caller().send(entry, "GET", "/v1/jobs/" + name + "/trace", "");
            recordTasks(trace.body().path("tasks"), taskMilliseconds);
        } catch (IOException callFailed) {
            mFailedJobs.incrementAndGet();
        } catch (InterruptedException stopping) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordTasks(JsonNode traced, List<Integer> taskMilliseconds) {
        for (int index = 0; index < traced.size(); index++) {
            mTaskCount.incrementAndGet();
            for (JsonNode event : traced.path(index).path("events")) {
                if (event.path("event").asText().equals("answered")) {
                    double ideal = taskMilliseconds.get(index) + NETWORK_MILLISECONDS;
                    mLatencyRatios.add(Math.max(1, event.path("atMilliseconds").asLong() / ideal));
                }
            }
        }
    }

    /** Declares run times that are wrong by a factor of up to four in either direction. */
    private String jobDocument(List<Integer> taskMilliseconds) {
        ObjectNode job = Caller.MAPPER.createObjectNode();
        job.put("service", Cluster.SERVICE);
        job.put("team", Cluster.TEAM);
        job.put("purpose", "load");
        ArrayNode taskList = job.putArray("tasks");
        for (int index = 0; index < taskMilliseconds.size(); index++) {
            double error = Math.exp((mRandom.nextDouble() * 2 - 1) * Math.log(4));
            taskList.addObject()
                    .put("key", "t" + index)
                    .put("payload", taskMilliseconds.get(index) + ":x")
                    .put(
                            "declaredMilliseconds",
                            Math.max(1, (int) (taskMilliseconds.get(index) * error)));
        }
        return job.toString();
    }
}
