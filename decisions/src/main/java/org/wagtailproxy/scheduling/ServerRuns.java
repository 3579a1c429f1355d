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
    private static final long STOP_RETRY_MILLIS = 100;

    /** Ends that are listed at a time; a list of this length may leave some out. */
    private static final int MAX_LISTED_ENDS = 500;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final BackendServer mServer;
    private final RunListener mListener;
    private final CommandSender mCommands;
    private final Map<TaskId, ServerRun> mRuns = new HashMap<>();
    private final OrphanedRuns mOrphans = new OrphanedRuns();
    private final EndAcknowledgements mEnds = new EndAcknowledgements();
    private ResourceAmount mUsedCapacity = ResourceAmount.NONE;

    /** Sends what the account needs. */
    interface CommandSender {

        /** Orders a stop. */
        void stop(TaskId task, int attempt);

        /** Has the server list its runs at once. */
        void requestPoll();
    }

    ServerRuns(BackendServer server, RunListener listener, CommandSender commands) {
        mServer = server;
        mListener = listener;
        mCommands = commands;
    }

    boolean isEmpty() {
        return mRuns.isEmpty();
    }

    Collection<ServerRun> runs() {
        return mRuns.values();
    }

    ResourceAmount usedCapacity() {
        return mUsedCapacity;
    }

    EndAcknowledgements ends() {
        return mEnds;
    }

    OrphanedRuns orphans() {
        return mOrphans;
    }

    /** Returns a run, null if another attempt of the task or none is accounted for. */
    ServerRun find(TaskId task, int attempt) {
        ServerRun run = mRuns.get(task);
        return run == null || run.mAttempt != attempt ? null : run;
    }

    void add(ServerRun run) {
        mRuns.put(run.mTask, run);
        mUsedCapacity = mUsedCapacity.plus(run.mDemand);
    }

    void end(ServerRun run, RunEnd end, long nowNanos) {
        mRuns.remove(run.mTask);
        mUsedCapacity = mUsedCapacity.minus(run.mDemand);
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
            sendStop(run, nowNanos);
        }
    }

    /** Repeats stops that have not been acknowledged. */
    void repeatStops(long nowNanos) {
        for (ServerRun run : mRuns.values()) {
            boolean retryDue = nowNanos - run.mStateNanos > STOP_RETRY_MILLIS * MILLI;
            if (run.mState == ServerRun.State.STOPPING && retryDue) {
                sendStop(run, nowNanos);
            }
        }
    }

    private void sendStop(ServerRun run, long nowNanos) {
        run.enter(ServerRun.State.STOPPING, nowNanos);
        if (mServer.isHeld()) {
            mCommands.stop(run.mTask, run.mAttempt);
        }
    }

    void onStopAcknowledged(TaskId task, int attempt, long nowNanos) {
        mOrphans.remove(task);
        mCommands.requestPoll();
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
    void onReport(PollReport report, boolean newest, long sentNanos, long nowNanos) {
        Set<TaskId> listed = new HashSet<>();
        for (EndReport end : report.ended()) {
            listed.add(end.task());
            onEnd(end, nowNanos);
        }
        if (newest) {
            reconcile(report, listed, sentNanos, nowNanos);
        }
    }

    private void reconcile(PollReport report, Set<TaskId> listed, long sentNanos, long nowNanos) {
        List<RunReport> orphans = new ArrayList<>();
        for (RunReport running : report.running()) {
            ServerRun run = find(running.task(), running.attempt());
            if (run == null) {
                orphans.add(running);
                continue;
            }
            listed.add(running.task());
            run.mPercent = running.percent();
            onCheckpoint(running.task(), running.checkpoint());
            if (run.mState == ServerRun.State.UNCERTAIN || run.mState == ServerRun.State.STARTING) {
                run.enter(ServerRun.State.RUNNING, nowNanos);
            }
        }
        mOrphans.update(orphans, nowNanos);
        adoptOrphans(nowNanos);
        if (report.ended().size() >= MAX_LISTED_ENDS) {
            mCommands.requestPoll();
            return;
        }
        for (ServerRun run : List.copyOf(mRuns.values())) {
            if (!listed.contains(run.mTask) && run.mStateNanos < sentNanos) {
                onMissing(run, nowNanos);
            }
        }
    }

    /** A run that was in its state before the look was sent is not in the list. */
    private void onMissing(ServerRun run, long nowNanos) {
        switch (run.mState) {
            case RUNNING, STOPPED -> end(run, RunEnd.INTERRUPTED, nowNanos);
            case UNCERTAIN -> sendStop(run, nowNanos);
            default -> {}
        }
    }

    /** Offers foreign runs to the jobs that have been handed over meanwhile. */
    void adoptOrphans(long nowNanos) {
        if (!mServer.isHeld()) {
            return;
        }
        mOrphans.offer(
                (report, reportedNanos) -> {
                    ServerRun run = mListener.adopt(mServer, report, reportedNanos, nowNanos);
                    if (run != null) {
                        add(run);
                        onCheckpoint(report.task(), report.checkpoint());
                    }
                    return run != null;
                });
    }

    /** Stops runs that no job here accounts for; those of stored jobs wait for these to be read. */
    void stopOverdueOrphans(long adoptNanos, long nowNanos) {
        for (RunReport run : mOrphans.takeOverdue(adoptNanos, nowNanos, this::isJobKindKnown)) {
            mCommands.stop(run.task(), run.attempt());
        }
    }

    /** Tests whether it is known whether the job of a run is a stored one. */
    private boolean isJobKindKnown(RunReport run) {
        return !mListener.unsavedChange(run.task().job()).contains(EndAcknowledgements.UNREAD);
    }

    private void onEnd(EndReport end, long nowNanos) {
        if (!mEnds.markProcessed(end)) {
            return;
        }
        mOrphans.remove(end.task());
        onCheckpoint(end.task(), end.checkpoint());
        ServerRun run = find(end.task(), end.attempt());
        if (run == null) {
            onInheritedEnd(end, nowNanos);
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
        end(run, toRunEnd(end.kind()), nowNanos);
        mListener
                .unsavedChange(end.task().job())
                .filter(change -> run.mStored || change != EndAcknowledgements.UNREAD)
                .forEach(change -> mEnds.retain(end, change));
    }

    /** An end of a run that an earlier leader started. */
    private void onInheritedEnd(EndReport end, long nowNanos) {
        mListener.inheritedRunEnded(mServer, end.task(), toRunEnd(end.kind()), nowNanos);
        mListener.unsavedChange(end.task().job()).forEach(change -> mEnds.retain(end, change));
    }

    private void onCheckpoint(TaskId task, String checkpoint) {
        if (!checkpoint.isEmpty()) {
            mListener.checkpointReported(task, checkpoint);
        }
    }

    /** Takes note that all stored jobs are known. */
    void onStoredJobsRead(long nowNanos) {
        for (EndReport end : mEnds.takeUnread()) {
            onCheckpoint(end.task(), end.checkpoint());
            onInheritedEnd(end, nowNanos);
        }
    }

    /** Forgets all of a former incarnation of the server. */
    void onRestart(long nowNanos) {
        mEnds.clear();
        mOrphans.clear();
        interruptAll(nowNanos);
    }

    private static RunEnd toRunEnd(EndKind kind) {
        return switch (kind) {
            case DONE -> RunEnd.DONE;
            case FAILED -> RunEnd.FAILED;
            default -> RunEnd.INTERRUPTED;
        };
    }
}
