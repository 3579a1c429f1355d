package org.wagtailproxy.integration;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.Cluster.Entry;

/** Callers that submit jobs one after the other and check what they are answered. */
final class Load implements Closeable {

    private static final long LONGEST_JOB_NANOS = 60_000_000_000L;
    private static final long PAUSE_MILLISECONDS = 100;

    private final Cluster mCluster;
    private final int mTasks;
    private final long mMilliseconds;
    private final ExecutorService mThreads;
    private final AtomicInteger mCompleted = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mBroken = new AtomicInteger();
    private final AtomicInteger mWrong = new AtomicInteger();
    private final ConcurrentLinkedQueue<String> mNames = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> mTroubles = new ConcurrentLinkedQueue<>();
    private volatile boolean mStopping;

    private Load(Cluster cluster, int callers, int tasks, long milliseconds) {
        mCluster = cluster;
        mTasks = tasks;
        mMilliseconds = milliseconds;
        mThreads = Executors.newFixedThreadPool(callers);
    }

    static Load start(Cluster cluster, int callers, int tasks, long milliseconds) {
        Load load = new Load(cluster, callers, tasks, milliseconds);
        for (int caller = 0; caller < callers; caller++) {
            int number = caller;
            load.mThreads.execute(() -> load.run(number));
        }
        return load;
    }

    int completed() {
        return mCompleted.get();
    }

    int failed() {
        return mFailed.get();
    }

    int refused() {
        return mRefused.get();
    }

    /** Counts calls that ended without any answer. */
    int broken() {
        return mBroken.get();
    }

    /** Counts jobs with answers that are not theirs. */
    int wrong() {
        return mWrong.get();
    }

    /** Returns the names of the jobs that were accepted. */
    List<String> names() {
        return new ArrayList<>(mNames);
    }

    List<String> troubles() {
        return new ArrayList<>(mTroubles);
    }

    /** Lets every caller finish its job. */
    void finish() throws InterruptedException {
        mStopping = true;
        mThreads.shutdown();
        mThreads.awaitTermination(90, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        mStopping = true;
        mThreads.shutdownNow();
    }

    private void run(int caller) {
        int number = 0;
        String session = "";
        while (!mStopping) {
            Entry entry = ready(caller + number);
            try {
                if (number % 10 == 0 || session.isEmpty()) {
                    session = mCluster.caller().session(entry);
                }
                if (!session.isEmpty()) {
                    runJob(entry, session + ".load" + caller + ":" + number, caller + number);
                }
            } catch (IOException broken) {
                mBroken.incrementAndGet();
                mTroubles.add(entry + " " + broken);
                session = "";
            } catch (InterruptedException stopping) {
                return;
            }
            number++;
        }
    }

    /** Does what the platform's balancer does: sends callers to instances that are ready. */
    private Entry ready(int number) {
        List<Entry> entries = mCluster.entries();
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get((number + offset) % entries.size());
            try {
                if (Impatient.get(entry, "/health/ready").status() == 200) {
                    return entry;
                }
            } catch (IOException away) {
                continue;
            } catch (InterruptedException stopping) {
                Thread.currentThread().interrupt();
                return entry;
            }
        }
        return entries.get(0);
    }

    private void runJob(Entry entry, String name, int number)
            throws IOException, InterruptedException {
        String body = Caller.job(mTasks, mMilliseconds);
        Answer accepted = mCluster.caller().submit(entry, name, body);
        if (accepted.status() != 200 && accepted.status() != 202) {
            mRefused.incrementAndGet();
            mTroubles.add(entry + " " + accepted);
            return;
        }
        mNames.add(name);
        long limitNanos = System.nanoTime() + LONGEST_JOB_NANOS;
        for (int attempt = 0; System.nanoTime() - limitNanos < 0; attempt++) {
            Answer end = await(ready(number + attempt), name);
            if (end != null && end.ended()) {
                count(end);
                return;
            }
            Thread.sleep(PAUSE_MILLISECONDS);
        }
        mTroubles.add(name + " never ended");
        mFailed.incrementAndGet();
    }

    private Answer await(Entry entry, String name) throws InterruptedException {
        try {
            return mCluster.caller().get(entry, name, 5000);
        } catch (IOException broken) {
            mBroken.incrementAndGet();
            mTroubles.add(entry + " " + broken);
            return null;
        }
    }

    private void count(Answer end) {
        if (end.state().equals("failed")) {
            mFailed.incrementAndGet();
            mTroubles.add(end.body().path("failure").toString());
        } else if (Caller.wrongAnswers(end.body(), mTasks, mMilliseconds).isPresent()) {
            mWrong.incrementAndGet();
        } else {
            mCompleted.incrementAndGet();
        }
    }
}
