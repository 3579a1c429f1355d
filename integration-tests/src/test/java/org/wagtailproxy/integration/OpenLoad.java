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

/** Callers that submit jobs at a rate that does not depend on the answers, with bursts. */
final class OpenLoad {

    private static final int BURST_EVERY_SECONDS = 20;
    private static final int BURST_SECONDS = 1;
    private static final double WIRE_MILLISECONDS = 1;

    private final Cluster mCluster;
    private final double mSteadyRate;
    private final double mBurstRate;
    private final SplittableRandom mRandom;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final ConcurrentLinkedQueue<Double> mRatios = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mTasks = new AtomicInteger();
    private final AtomicInteger mRefusedJobs = new AtomicInteger();
    private final AtomicInteger mFailedJobs = new AtomicInteger();
    private final AtomicInteger mCompleteJobs = new AtomicInteger();
    private long mTookNanos;

    OpenLoad(Cluster cluster, double steadyRate, double burstRate, long seed) {
        mCluster = cluster;
        mSteadyRate = steadyRate;
        mBurstRate = burstRate;
        mRandom = new SplittableRandom(seed);
    }

    /** Submits for some seconds and awaits every end. */
    void run(int seconds) throws InterruptedException {
        long startNanos = System.nanoTime();
        double dueSeconds = 0;
        int number = 0;
        while (dueSeconds < seconds) {
            boolean burst = dueSeconds % BURST_EVERY_SECONDS > BURST_EVERY_SECONDS - BURST_SECONDS;
            double jobRate = (burst ? mBurstRate : mSteadyRate) / LoadShape.meanTasks();
            dueSeconds += -Math.log(1 - mRandom.nextDouble()) / jobRate;
            List<Integer> tasks = LoadShape.drawTasks(mRandom);
            Entry entry = mCluster.entry(mRandom.nextInt(mCluster.entries().size()));
            String body = job(tasks);
            String key = "open" + number++;
            long dueNanos = startNanos + (long) (dueSeconds * 1e9);
            long pause = dueNanos - System.nanoTime();
            if (pause > 0) {
                TimeUnit.NANOSECONDS.sleep(pause);
            }
            mThreads.execute(() -> submit(entry, key, body, tasks));
        }
        mThreads.shutdown();
        mThreads.awaitTermination(120, TimeUnit.SECONDS);
        mTookNanos = System.nanoTime() - startNanos;
    }

    double[] sortedRatios() {
        return mRatios.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    int tasks() {
        return mTasks.get();
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

    double seconds() {
        return mTookNanos / 1e9;
    }

    private void submit(Entry entry, String key, String body, List<Integer> tasks) {
        try {
            String name = mCluster.caller().session(entry) + "." + key;
            Answer accepted = mCluster.caller().submit(entry, name, body);
            if (accepted.status() != 202) {
                mRefusedJobs.incrementAndGet();
                return;
            }
            Answer end = mCluster.caller().get(entry, name, 30_000);
            while (!end.ended()) {
                end = mCluster.caller().get(entry, name, 30_000);
            }
            (end.state().equals("complete") ? mCompleteJobs : mFailedJobs).incrementAndGet();
            Answer trace = mCluster.caller().send(entry, "GET", "/v1/jobs/" + name + "/trace", "");
            count(trace.body().path("tasks"), tasks);
        } catch (IOException broken) {
            mFailedJobs.incrementAndGet();
        } catch (InterruptedException stopping) {
            Thread.currentThread().interrupt();
        }
    }

    private void count(JsonNode traced, List<Integer> tasks) {
        for (int index = 0; index < traced.size(); index++) {
            mTasks.incrementAndGet();
            for (JsonNode event : traced.path(index).path("events")) {
                if (event.path("event").asText().equals("answered")) {
                    double ideal = tasks.get(index) + WIRE_MILLISECONDS;
                    mRatios.add(Math.max(1, event.path("atMilliseconds").asLong() / ideal));
                }
            }
        }
    }

    /** Declares run times that are off by a factor of up to four either way. */
    private String job(List<Integer> tasks) {
        ObjectNode job = Caller.MAPPER.createObjectNode();
        job.put("service", Cluster.SERVICE);
        job.put("team", Cluster.TEAM);
        job.put("purpose", "load");
        ArrayNode list = job.putArray("tasks");
        for (int index = 0; index < tasks.size(); index++) {
            double error = Math.exp((mRandom.nextDouble() * 2 - 1) * Math.log(4));
            list.addObject()
                    .put("key", "t" + index)
                    .put("payload", tasks.get(index) + ":x")
                    .put("declaredMilliseconds", Math.max(1, (int) (tasks.get(index) * error)));
        }
        return job.toString();
    }
}
