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
 * Tracks the runs on one backend server: the runs of this instance's jobs, the orphaned runs, and
 * the ends that the server reports.
 *
 * <p>A run stays tracked until it can no longer be running: its end is reported, the report of a
 * later poll does not list it, or the owner ends it after the last lease has expired.
 */
final class ServerRuns {

    /** Pause before an unacknowledged stop is sent again. */
    private static final long STOP_RETRY_MILLIS = 100;

    /** Ends that a server lists in one report; a list of this length may be incomplete. */
    private static final int MAX_LISTED_ENDS = 500;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final BackendServer mServer;
    private final RunListener mListener;
    private final CommandSender mCommands;
    private final Map<TaskId, ServerRun> mRuns = new HashMap<>();
    private final OrphanedRuns mOrphans = new OrphanedRuns();
    private final EndAcknowledgements mEnds = new EndAcknowledgements();
    private ResourceAmount mUsedCapacity = ResourceAmount.NONE;

    /** Number of the runs whose jobs are stored ones. */
    private int mStoredRuns;

    /** Sends commands to the backend server. */
    interface CommandSender {

        /** Stops an attempt of a task. */
        void stop(TaskId task, int attempt);

        /** Polls the server without waiting for an end. */
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

    boolean hasStoredRuns() {
        return mStoredRuns > 0;
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

    /** Returns a tracked run, null if no run or another attempt of the task is tracked. */
    ServerRun find(TaskId task, int attempt) {
        ServerRun run = mRuns.get(task);
        return run == null || run.mAttempt != attempt ? null : run;
    }

    void add(ServerRun run) {
        mRuns.put(run.mTask, run);
        mStoredRuns += run.mStored ? 1 : 0;
        mUsedCapacity = mUsedCapacity.plus(run.mDemand);
    }

    void end(ServerRun run, RunEnd end, long nowNanos) {
        mRuns.remove(run.mTask);
        mStoredRuns -= run.mStored ? 1 : 0;
        mUsedCapacity = mUsedCapacity.minus(run.mDemand);
        mListener.runEnded(mServer, run, end, nowNanos);
    }

    /** Ends every run, because none of them can still be running. */
    void interruptAll(long nowNanos) {
        for (ServerRun run : List.copyOf(mRuns.values())) {
            end(run, RunEnd.INTERRUPTED, nowNanos);
        }
    }

    /** Ends the runs that cannot start late, because the last lease has expired. */
    void interruptStarted(long nowNanos) {
        for (ServerRun run : List.copyOf(mRuns.values())) {
            if (!run.mMayStartLate) {
                end(run, RunEnd.INTERRUPTED, nowNanos);
            }
        }
    }

    /** Sends a stop command. The run stays tracked until its end is confirmed. */
    void stop(TaskId task, long nowNanos) {
        ServerRun run = mRuns.get(task);
        if (run != null && !run.isStopRequested()) {
            sendStop(run, nowNanos);
        }
    }

    /** Repeats the stop commands that have not been acknowledged. */
    void repeatStops(long nowNanos) {
        for (ServerRun run : mRuns.values()) {
            boolean retryDue = nowNanos - run.mStateNanos > STOP_RETRY_MILLIS * NANOS_PER_MILLI;
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
        // An orphaned run counts until a report shows that it has ended.
        mCommands.requestPoll();
        ServerRun run = find(task, attempt);
        if (run != null) {
            run.enter(ServerRun.State.STOPPED, nowNanos);
        }
    }

    /**
     * Processes a report of the server.
     *
     * @param report the report, not null
     * @param newest true if no report of a later poll has been received
     * @param sentNanos when the poll was sent, as monotonic time in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
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
                // A report that was made before the run ended may arrive after the one with its
                // end.
                if (!mEnds.isRetained(running.task(), running.attempt())) {
                    orphans.add(running);
                }
                continue;
            }
            listed.add(running.task());
            run.mListed = true;
            run.mMayStartLate = false;
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
            if (listed.contains(run.mTask)) {
                continue;
            }
            if (run.mToken < mServer.token()) {
                // The server has accepted a higher token, so the start command comes too late.
                end(run, RunEnd.INTERRUPTED, nowNanos);
            } else if (run.mStateNanos < sentNanos) {
                onMissing(run, nowNanos);
            }
        }
    }

    /** Ends or stops a run that a report omits although its state predates the poll. */
    private void onMissing(ServerRun run, long nowNanos) {
        switch (run.mState) {
            case RUNNING, STOPPED -> end(run, RunEnd.INTERRUPTED, nowNanos);
            case UNCERTAIN -> sendStop(run, nowNanos);
            default -> {}
        }
    }

    /** Offers orphaned runs to the jobs that have been handed over since the last report. */
    void adoptOrphans(long nowNanos) {
        if (!mServer.isHeld()) {
            return;
        }
        mOrphans.offer(
                (report, reportedNanos) -> {
                    ServerRun run = mListener.adopt(mServer, report, reportedNanos, nowNanos);
                    if (run != null) {
                        run.mToken = mServer.token();
                        run.mListed = true;
                        add(run);
                        onCheckpoint(report.task(), report.checkpoint());
                    }
                    return run != null;
                });
    }

    /**
     * Stops the orphaned runs that no job has adopted in time. Runs of jobs that may be stored ones
     * are stopped only after the stored jobs have been read.
     */
    void stopOverdueOrphans(long adoptNanos, long nowNanos) {
        List<RunReport> overdue =
                mOrphans.takeOverdue(
                        adoptNanos,
                        nowNanos,
                        (run, sinceNanos) -> isJobKindKnown(run.task(), run.attempt(), sinceNanos));
        for (RunReport run : overdue) {
            mCommands.stop(run.task(), run.attempt());
        }
    }

    /** Checks whether it is known if the job of a run is a stored one. */
    private boolean isJobKindKnown(TaskId task, int attempt, long listedNanos) {
        return !mListener
                .unsavedChange(task.job(), attempt, listedNanos)
                .contains(EndAcknowledgements.UNREAD);
    }

    private void onEnd(EndReport end, long nowNanos) {
        if (!mEnds.markProcessed(end)) {
            return;
        }
        mOrphans.remove(end.task(), end.attempt());
        onCheckpoint(end.task(), end.checkpoint());
        ServerRun run = find(end.task(), end.attempt());
        if (run == null) {
            onInheritedEnd(end, nowNanos, nowNanos);
            return;
        }
        double tookMillis = (nowNanos - run.mSentNanos) / (double) NANOS_PER_MILLI;
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
                .unsavedChange(end.task().job(), end.attempt(), nowNanos)
                .filter(change -> run.mStored || change != EndAcknowledgements.UNREAD)
                .forEach(number -> mEnds.retain(end, number, nowNanos));
    }

    /**
     * Reports the end of a run that an earlier leader started, and retains it if its job has to be
     * saved first.
     */
    private void onInheritedEnd(EndReport end, long listedNanos, long nowNanos) {
        mListener.inheritedRunEnded(
                mServer, end.task(), end.attempt(), toRunEnd(end.kind()), listedNanos, nowNanos);
        mListener
                .unsavedChange(end.task().job(), end.attempt(), listedNanos)
                .forEach(number -> mEnds.retain(end, number, listedNanos));
    }

    private void onCheckpoint(TaskId task, String checkpoint) {
        if (!checkpoint.isEmpty()) {
            mListener.checkpointReported(task, checkpoint);
        }
    }

    /** Processes the ends that were retained until all stored jobs had been read. */
    void onStoredJobsRead(long nowNanos) {
        Map<EndReport, Long> ends =
                mEnds.takeUnread(
                        (end, listedNanos) ->
                                isJobKindKnown(end.task(), end.attempt(), listedNanos));
        ends.forEach(
                (end, listedNanos) -> {
                    onCheckpoint(end.task(), end.checkpoint());
                    onInheritedEnd(end, listedNanos, nowNanos);
                });
    }

    /**
     * Discards the state of an earlier incarnation of the server and ends the runs that it has
     * listed. The new incarnation may have carried out the other start commands, or may still do so
     * until it is claimed; these runs are resolved by the report to the claim.
     */
    void onRestart(long nowNanos) {
        mEnds.clear();
        mOrphans.clear();
        for (ServerRun run : List.copyOf(mRuns.values())) {
            if (run.mListed) {
                end(run, RunEnd.INTERRUPTED, nowNanos);
            } else {
                run.onRestart(nowNanos);
            }
        }
    }

    private static RunEnd toRunEnd(EndKind kind) {
        return switch (kind) {
            case DONE -> RunEnd.DONE;
            case FAILED -> RunEnd.FAILED;
            default -> RunEnd.INTERRUPTED;
        };
    }
}
