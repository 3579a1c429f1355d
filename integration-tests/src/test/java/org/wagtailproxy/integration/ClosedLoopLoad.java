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

/**
 * Closed-loop load: each caller submits a job, waits for its end, checks the answers and goes on
 * with the next job.
 */
final class ClosedLoopLoad implements Closeable {

    private static final long MAX_JOB_NANOS = 60_000_000_000L;
    private static final long QUERY_INTERVAL_MILLISECONDS = 100;

    private final Cluster mCluster;
    private final int mTasksPerJob;
    private final long mTaskMilliseconds;
    private final ExecutorService mExecutor;
    private final AtomicInteger mCompletedJobs = new AtomicInteger();
    private final AtomicInteger mFailedJobs = new AtomicInteger();
    private final AtomicInteger mRefusedJobs = new AtomicInteger();
    private final AtomicInteger mCallsWithoutAnswer = new AtomicInteger();
    private final AtomicInteger mJobsWithWrongAnswers = new AtomicInteger();
    private final ConcurrentLinkedQueue<String> mAcceptedJobs = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> mProblems = new ConcurrentLinkedQueue<>();
    private volatile boolean mStopping;

    private ClosedLoopLoad(Cluster cluster, int callers, int tasksPerJob, long taskMilliseconds) {
        mCluster = cluster;
        mTasksPerJob = tasksPerJob;
        mTaskMilliseconds = taskMilliseconds;
        mExecutor = Executors.newFixedThreadPool(callers);
    }

    static ClosedLoopLoad start(
            Cluster cluster, int callers, int tasksPerJob, long taskMilliseconds) {
        ClosedLoopLoad load = new ClosedLoopLoad(cluster, callers, tasksPerJob, taskMilliseconds);
        for (int caller = 0; caller < callers; caller++) {
            int number = caller;
            load.mExecutor.execute(() -> load.submitJobs(number));
        }
        return load;
    }

    int completedJobs() {
        return mCompletedJobs.get();
    }

    int failedJobs() {
        return mFailedJobs.get();
    }

    int refusedJobs() {
        return mRefusedJobs.get();
    }

    /** Returns how many calls ended without an answer. */
    int callsWithoutAnswer() {
        return mCallsWithoutAnswer.get();
    }

    /** Returns how many complete jobs had a wrong answer or a wrong number of tasks. */
    int jobsWithWrongAnswers() {
        return mJobsWithWrongAnswers.get();
    }

    /** Returns the names of the accepted jobs. */
    List<String> acceptedJobs() {
        return new ArrayList<>(mAcceptedJobs);
    }

    List<String> problems() {
        return new ArrayList<>(mProblems);
    }

    /** Stops submitting and waits until each caller has finished its current job. */
    void finish() throws InterruptedException {
        mStopping = true;
        mExecutor.shutdown();
        mExecutor.awaitTermination(90, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        mStopping = true;
        mExecutor.shutdownNow();
    }

    private void submitJobs(int caller) {
        int number = 0;
        String session = "";
        while (!mStopping) {
            Entry entry = findReadyEntry(caller + number);
            try {
                if (number % 10 == 0 || session.isEmpty()) {
                    session = mCluster.caller().fetchSession(entry);
                }
                if (!session.isEmpty()) {
                    runJob(entry, session + ".load" + caller + ":" + number, caller + number);
                }
            } catch (IOException callFailed) {
                mCallsWithoutAnswer.incrementAndGet();
                mProblems.add(entry + " " + callFailed);
                session = "";
            } catch (InterruptedException stopping) {
                return;
            }
            number++;
        }
    }

    /**
     * Selects an instance that is ready, as the load balancer of the platform does. Returns the
     * first instance if none is ready.
     */
    private Entry findReadyEntry(int number) {
        List<Entry> entries = mCluster.entries();
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get((number + offset) % entries.size());
            try {
                if (ShortTimeoutClient.get(entry, "/health/ready").status() == 200) {
                    return entry;
                }
            } catch (IOException unreachable) {
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
        String body = Caller.jobDocument(mTasksPerJob, mTaskMilliseconds);
        Answer accepted = mCluster.caller().submit(entry, name, body);
        if (accepted.status() != 200 && accepted.status() != 202) {
            mRefusedJobs.incrementAndGet();
            mProblems.add(entry + " " + accepted);
            return;
        }
        mAcceptedJobs.add(name);
        long deadlineNanos = System.nanoTime() + MAX_JOB_NANOS;
        for (int attempt = 0; System.nanoTime() - deadlineNanos < 0; attempt++) {
            Answer end = queryJob(findReadyEntry(number + attempt), name);
            if (end != null && end.hasEnded()) {
                countEnd(end);
                return;
            }
            Thread.sleep(QUERY_INTERVAL_MILLISECONDS);
        }
        mProblems.add(name + " never ended");
        mFailedJobs.incrementAndGet();
    }

    private Answer queryJob(Entry entry, String name) throws InterruptedException {
        try {
            return mCluster.caller().get(entry, name, 5000);
        } catch (IOException callFailed) {
            mCallsWithoutAnswer.incrementAndGet();
            mProblems.add(entry + " " + callFailed);
            return null;
        }
    }

    private void countEnd(Answer end) {
        if (end.state().equals("failed")) {
            mFailedJobs.incrementAndGet();
            mProblems.add(end.body().path("failure").toString());
        } else if (Caller.findWrongAnswer(end.body(), mTasksPerJob, mTaskMilliseconds)
                .isPresent()) {
            mJobsWithWrongAnswers.incrementAndGet();
        } else {
            mCompletedJobs.incrementAndGet();
        }
    }
}
