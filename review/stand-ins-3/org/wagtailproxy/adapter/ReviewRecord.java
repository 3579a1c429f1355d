package org.wagtailproxy.adapter;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes down what was sent, answered and run, on one clock, and keeps the runs for the checks.
 * Thread-safe.
 */
final class ReviewRecord implements AutoCloseable {

    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mWriter;
    private final Map<String, List<Run>> mRuns = new HashMap<>();
    private final List<String> mBreaks = new ArrayList<>();

    /** A run of a task on a runner. All times are milliseconds of the record's clock. */
    static final class Run {
        final String mTask;
        final int mAttempt;
        final String mRunner;
        final String mLabels;
        final String mSpec;
        final long mStartMillis;
        long mEndMillis = -1;
        String mEnd = "";

        /** When last_seen reached the end without a lapse of the lease before, -1 if it has not. */
        long mNotedMillis = -1;

        private Run(
                String task, int attempt, String runner, String labels, String spec, long start) {
            mTask = task;
            mAttempt = attempt;
            mRunner = runner;
            mLabels = labels;
            mSpec = spec;
            mStartMillis = start;
        }

        @Override
        public String toString() {
            return String.format(
                    "%s attempt %d on %s from %d to %d %s noted %d",
                    mTask, mAttempt, mRunner, mStartMillis, mEndMillis, mEnd, mNotedMillis);
        }
    }

    ReviewRecord(Path file) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(file), false);
    }

    long nowMillis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void write(String text) {
        mWriter.println(nowMillis() + " " + text);
    }

    synchronized Run started(
            String task, int attempt, String runner, String labels, String spec) {
        Run run = new Run(task, attempt, runner, labels, spec, nowMillis());
        mRuns.computeIfAbsent(task, key -> new ArrayList<>()).add(run);
        write("run " + task + " " + attempt + " begins on " + runner);
        return run;
    }

    synchronized void ended(Run run, String how) {
        run.mEndMillis = nowMillis();
        run.mEnd = how;
        write("run " + run.mTask + " " + run.mAttempt + " ends on " + run.mRunner + " " + how);
    }

    /** Records that last_seen has reached an end, and whether the lease lapsed in between. */
    synchronized void noted(Run run, boolean lapsed) {
        if (!lapsed) {
            run.mNotedMillis = nowMillis();
        }
        write(
                "end of "
                        + run.mTask
                        + " "
                        + run.mAttempt
                        + " on "
                        + run.mRunner
                        + (lapsed ? " forgotten, the lease had lapsed" : " taken note of"));
    }

    /** Returns the runs of all tasks, each list in the order of the starts. */
    synchronized List<List<Run>> runs() {
        List<List<Run>> all = new ArrayList<>();
        mRuns.values().forEach(runs -> all.add(new ArrayList<>(runs)));
        return all;
    }

    synchronized void addBreak(String text) {
        mBreaks.add(text);
        write("BROKEN " + text);
    }

    synchronized int breaks() {
        return mBreaks.size();
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
