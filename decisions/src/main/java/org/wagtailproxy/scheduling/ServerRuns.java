package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.fleet.EndKind;
import org.wagtailproxy.fleet.EndReport;
import org.wagtailproxy.fleet.PollReport;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.TaskId;

/**
 * The runs on one backend server: those that this instance accounts for, those that another one
 * started, and the ends that the server lists.
 *
 * <p>A run leaves the account only when nothing of it can run any more: its end is listed, the
 * server says so in a later list, or the owner gives it up after the last lease.
 */
final class ServerRuns {

    /** Pause before an unacknowledged stop is sent again. */
    private static final long STOP_AGAIN_MILLIS = 100;

    /** Ends that are listed at a time; a list of this length may leave some out. */
    private static final int MOST_LISTED_ENDS = 500;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final BackendServer mServer;
    private final RunListener mListener;
    private final Orders mOrders;
    private final Map<TaskId, ServerRun> mRuns = new HashMap<>();
    private final OrphanedRuns mOrphans = new OrphanedRuns();
    private final EndAcknowledgements mEnds = new EndAcknowledgements();
    private ResourceAmount mUsed = ResourceAmount.NONE;

    /** Sends what the account needs. */
    interface Orders {

        /** Orders a stop. */
        void stop(TaskId task, int attempt);

        /** Has the server list its runs at once. */
        void wantLook();
    }

    ServerRuns(BackendServer server, RunListener listener, Orders orders) {
        mServer = server;
        mListener = listener;
        mOrders = orders;
    }

    boolean isEmpty() {
        return mRuns.isEmpty();
    }

    Collection<ServerRun> runs() {
        return mRuns.values();
    }

    ResourceAmount used() {
        return mUsed;
    }

    EndAcknowledgements ends() {
        return mEnds;
    }

    OrphanedRuns foreign() {
        return mOrphans;
    }

    /** Returns a run, null if another attempt of the task or none is accounted for. */
    ServerRun find(TaskId task, int attempt) {
        ServerRun run = mRuns.get(task);
        return run == null || run.mAttempt != attempt ? null : run;
    }

    void add(ServerRun run) {
        mRuns.put(run.mTask, run);
        mUsed = mUsed.plus(run.mDemand);
    }

    void end(ServerRun run, RunEnd end, long nowNanos) {
        mRuns.remove(run.mTask);
        mUsed = mUsed.minus(run.mDemand);
        mListener.runEnded(mServer, run, end, nowNanos);
    }

    /** Ends every run, because nothing of it can run any more. */
    void interruptAll(long nowNanos) {
        for (ServerRun run : List.copyOf(mRuns.values())) {
            end(run, RunEnd.INTERRUPTED, nowNanos);
        }
    }

    /** Ends the runs that cannot start late, because the last lease has run out. */
    void interruptStarted(long nowNanos) {
        for (ServerRun run : List.copyOf(mRuns.values())) {
            if (!run.mMayStartLate) {
                end(run, RunEnd.INTERRUPTED, nowNanos);
            }
        }
    }

    /** Orders a stop; the run leaves the account when its end is proved. */
    void stop(TaskId task, long nowNanos) {
        ServerRun run = mRuns.get(task);
        if (run != null && !run.stopOrdered()) {
            orderStop(run, nowNanos);
        }
    }

    /** Repeats stops that have not been acknowledged. */
    void stopAgain(long nowNanos) {
        for (ServerRun run : mRuns.values()) {
            boolean late = nowNanos - run.mStateNanos > STOP_AGAIN_MILLIS * MILLI;
            if (run.mState == ServerRun.State.STOPPING && late) {
                orderStop(run, nowNanos);
            }
        }
    }

    private void orderStop(ServerRun run, long nowNanos) {
        run.enter(ServerRun.State.STOPPING, nowNanos);
        if (mServer.isHeld()) {
            mOrders.stop(run.mTask, run.mAttempt);
        }
    }

    void stopAcknowledged(TaskId task, int attempt, long nowNanos) {
        mOrphans.remove(task);
        mOrders.wantLook();
        ServerRun run = find(task, attempt);
        if (run != null) {
            run.enter(ServerRun.State.STOPPED, nowNanos);
        }
    }

    /**
     * Takes over what the server lists.
     *
     * @param newest true if the list was not overtaken by another one
     * @param sentNanos when it was asked for
     */
    void report(PollReport report, boolean newest, long sentNanos, long nowNanos) {
        Set<TaskId> listed = new HashSet<>();
        for (EndReport end : report.ended()) {
            listed.add(end.task());
            ended(end, nowNanos);
        }
        if (newest) {
            compare(report, listed, sentNanos, nowNanos);
        }
    }

    private void compare(PollReport report, Set<TaskId> listed, long sentNanos, long nowNanos) {
        List<RunReport> foreign = new ArrayList<>();
        for (RunReport running : report.running()) {
            ServerRun run = find(running.task(), running.attempt());
            if (run == null) {
                foreign.add(running);
                continue;
            }
            listed.add(running.task());
            run.mPercent = running.percent();
            checkpointed(running.task(), running.checkpoint());
            if (run.mState == ServerRun.State.UNCERTAIN || run.mState == ServerRun.State.STARTING) {
                run.enter(ServerRun.State.RUNNING, nowNanos);
            }
        }
        mOrphans.replace(foreign, nowNanos);
        adoptForeign(nowNanos);
        if (report.ended().size() >= MOST_LISTED_ENDS) {
            mOrders.wantLook();
            return;
        }
        for (ServerRun run : List.copyOf(mRuns.values())) {
            if (!listed.contains(run.mTask) && run.mStateNanos < sentNanos) {
                missing(run, nowNanos);
            }
        }
    }

    /** A run that was in its state before the look was sent is not in the list. */
    private void missing(ServerRun run, long nowNanos) {
        switch (run.mState) {
            case RUNNING, STOPPED -> end(run, RunEnd.INTERRUPTED, nowNanos);
            case UNCERTAIN -> orderStop(run, nowNanos);
            default -> {}
        }
    }

    /** Offers foreign runs to the jobs that have been handed over meanwhile. */
    void adoptForeign(long nowNanos) {
        if (!mServer.isHeld()) {
            return;
        }
        mOrphans.offer(
                (report, reportedNanos) -> {
                    ServerRun run = mListener.adopt(mServer, report, reportedNanos, nowNanos);
                    if (run != null) {
                        add(run);
                        checkpointed(report.task(), report.checkpoint());
                    }
                    return run != null;
                });
    }

    /** Stops runs that no job here accounts for; those of stored jobs wait for these to be read. */
    void stopOverdueForeign(long adoptNanos, long nowNanos) {
        for (RunReport run : mOrphans.overdue(adoptNanos, nowNanos, this::isRead)) {
            mOrders.stop(run.task(), run.attempt());
        }
    }

    /** Tests whether it is known whether the job of a run is a stored one. */
    private boolean isRead(RunReport run) {
        return !mListener.unsavedChange(run.task().job()).contains(EndAcknowledgements.UNREAD);
    }

    private void ended(EndReport end, long nowNanos) {
        if (!mEnds.accept(end)) {
            return;
        }
        mOrphans.remove(end.task());
        checkpointed(end.task(), end.checkpoint());
        ServerRun run = find(end.task(), end.attempt());
        if (run == null) {
            unaccounted(end, nowNanos);
            return;
        }
        double tookMillis = (nowNanos - run.mSentNanos) / (double) MILLI;
        if (end.kind() == EndKind.DONE) {
            mServer.health().recordSuccess();
            if (!run.mAdopted && !run.mLongRunning) {
                mServer.slowdown().observe(tookMillis, run.mEstimateMillis);
            }
        } else if (end.kind() == EndKind.FAILED) {
            mServer.health().recordFailure(run.mSentNanos, nowNanos);
        }
        end(run, runEnd(end.kind()), nowNanos);
        mListener
                .unsavedChange(end.task().job())
                .filter(change -> run.mStored || change != EndAcknowledgements.UNREAD)
                .forEach(change -> mEnds.hold(end, change));
    }

    /** An end of a run that an earlier leader started. */
    private void unaccounted(EndReport end, long nowNanos) {
        mListener.unaccountedEnd(mServer, end.task(), runEnd(end.kind()), nowNanos);
        mListener.unsavedChange(end.task().job()).forEach(change -> mEnds.hold(end, change));
    }

    private void checkpointed(TaskId task, String checkpoint) {
        if (!checkpoint.isEmpty()) {
            mListener.checkpointed(task, checkpoint);
        }
    }

    /** Takes note that all stored jobs are known. */
    void storedJobsRead(long nowNanos) {
        for (EndReport end : mEnds.takeUnread()) {
            checkpointed(end.task(), end.checkpoint());
            unaccounted(end, nowNanos);
        }
    }

    /** Forgets all of a former incarnation of the server. */
    void reborn(long nowNanos) {
        mEnds.clear();
        mOrphans.clear();
        interruptAll(nowNanos);
    }

    private static RunEnd runEnd(EndKind kind) {
        return switch (kind) {
            case DONE -> RunEnd.DONE;
            case FAILED -> RunEnd.FAILED;
            default -> RunEnd.INTERRUPTED;
        };
    }
}
