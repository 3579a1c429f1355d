package org.wagtailproxy.adapter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records runs and answers, and checks them by the rules of RULES.md. Thread-safe. */
final class Judge implements CaseServer.Record {

    private final Map<String, List<String>> mActive = new HashMap<>();
    private final Map<String, Long> mDone = new HashMap<>();
    private final Map<String, Long> mLastStart = new HashMap<>();
    private final Set<String> mStartedJobs = new HashSet<>();
    private final Map<String, Long> mCancelled = new HashMap<>();
    private final Map<String, Integer> mDoneTasks = new HashMap<>();
    private final List<String> mBroken = new ArrayList<>();
    private final boolean mNotesRuns;
    private CaseFleet mFleet;
    int mStarts;

    Judge(boolean notesRuns) {
        mNotesRuns = notesRuns;
    }

    void setFleet(CaseFleet fleet) {
        mFleet = fleet;
    }

    synchronized void broken(String text) {
        mBroken.add(text);
        mFleet.note("BROKEN " + text);
    }

    synchronized List<String> broken() {
        return List.copyOf(mBroken);
    }

    synchronized boolean isStarted(String job) {
        return mStartedJobs.contains(job);
    }

    synchronized int doneTasks(String job) {
        return mDoneTasks.getOrDefault(job, 0);
    }

    synchronized boolean hasActive(String job) {
        return mActive.entrySet().stream()
                .anyMatch(each -> each.getKey().startsWith(job) && !each.getValue().isEmpty());
    }

    /** A cancelling was acknowledged. */
    synchronized void cancelled(String job) {
        mCancelled.putIfAbsent(job, mFleet.now());
    }

    @Override
    public synchronized void started(String server, String task, int attempt, String spec) {
        mStarts++;
        String job = task.substring(0, 16);
        mStartedJobs.add(job);
        mLastStart.put(task, mFleet.now());
        List<String> active = mActive.computeIfAbsent(task, key -> new ArrayList<>());
        if (!active.isEmpty()) {
            broken(
                    "TWICE at one time " + task + " run " + attempt + " at " + server + ", " + active);
        }
        active.add(server + "/" + attempt);
        Long done = mDone.get(task);
        if (done != null) {
            broken("TWICE after done " + task + " run " + attempt + ", done at " + done);
        }
        Long cancelled = mCancelled.get(job);
        if (cancelled != null && mFleet.now() > cancelled + 3000) {
            broken("UNASKED " + task + " starts, cancelled at " + cancelled);
        }
        if (mNotesRuns) {
            mFleet.note(server + " starts " + task + " run " + attempt);
        }
    }

    @Override
    public synchronized void ended(String server, String task, int attempt, String how) {
        mActive.getOrDefault(task, new ArrayList<>()).remove(server + "/" + attempt);
        if (how.equals("done")) {
            mDoneTasks.merge(task.substring(0, 16), 1, Integer::sum);
        }
        if (mNotesRuns) {
            mFleet.note(server + " ends " + task + " run " + attempt + " " + how);
        }
    }

    @Override
    public synchronized void noted(String server, String task, int attempt, String how) {
        if (how.equals("done")) {
            mDone.putIfAbsent(task, mFleet.now());
        }
    }
}
