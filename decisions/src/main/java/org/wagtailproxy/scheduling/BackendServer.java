package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.fleet.CommandTarget;
import org.wagtailproxy.fleet.EndAcknowledgement;
import org.wagtailproxy.fleet.PollReport;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.StartAnswer;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.TaskId;

/**
 * Tracks one backend server and decides which commands to send to it.
 *
 * <p>Combines the claim of this instance, the lease of the runs, the reachability and health of the
 * server and the schedule of polls. Its input is the directory entry, the results of commands and
 * the clock; its output is a list of commands, see {@link #takeCommands}. The runs on the server
 * are tracked by {@link ServerRuns}. Not thread-safe; the owner must hold a lock.
 */
final class BackendServer {

    /**
     * Time after an unresponsive server has answered again in which other instances behind the same
     * network partition may not have been reached yet: two probes, each with its timeout and tick.
     */
    private static final long PARTITION_RECOVERY_MILLIS = 700;

    /** Added to the end of a lease before its runs are ended, because timers fire late. */
    private static final long LEASE_MARGIN_MILLIS = 30;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final LeaseTiming mTiming;
    private final ServerClaim mClaim;
    private final ActionPermissions mPermissions;
    private final RunListener mListener;
    private final ServerLease mLease;
    private final ServerReachability mReachability;
    private final ServerHealth mHealth = new ServerHealth();
    private final ServerSlowdown mSlowdown = new ServerSlowdown();
    private final ServerRuns mRuns;
    private final OutstandingPolls mPolls = new OutstandingPolls();
    private final List<ServerCommand> mCommands = new ArrayList<>();
    private final DirectoryListing mListing;
    private long mIncarnationStartMillis;
    private boolean mEvacuated;

    /** True from a restart of the server until it has accepted a token above all earlier ones. */
    private boolean mUnfencedAfterRestart;

    private long mLastPolledNanos = Long.MIN_VALUE;
    private final UnsavedWork mUnsavedWork;

    /** Since when no other instance extends the lease. */
    private long mClaimedNanos;

    private boolean mLeaseWithheld;

    BackendServer(
            ServerEntry entry,
            LeaseTiming timing,
            FencingTokenSource tokens,
            ActionPermissions permissions,
            RunListener listener) {
        mListing = new DirectoryListing(entry);
        mTiming = timing;
        mClaim = new ServerClaim(tokens);
        mPermissions = permissions;
        mListener = listener;
        mLease = new ServerLease(timing);
        mReachability = new ServerReachability(timing);
        mRuns = new ServerRuns(this, listener, new RunCommandSender());
        mUnsavedWork = new UnsavedWork(mRuns);
    }

    /** Queues the commands that {@link ServerRuns} requests. */
    private final class RunCommandSender implements ServerRuns.CommandSender {

        @Override
        public void stop(TaskId task, int attempt) {
            mCommands.add(new ServerCommand.Stop(target(), task, attempt));
        }

        @Override
        public void requestPoll() {
            mReachability.requestPoll();
        }
    }

    ServerEntry entry() {
        return mListing.entry();
    }

    ServerHealth health() {
        return mHealth;
    }

    EndAcknowledgements ends() {
        return mRuns.ends();
    }

    ServerSlowdown slowdown() {
        return mSlowdown;
    }

    /** Checks whether the server has accepted the fencing token of this instance. */
    boolean isHeld() {
        return mClaim.isHeld();
    }

    long token() {
        return mClaim.token();
    }

    boolean isUnresponsive() {
        return mReachability.isUnresponsive();
    }

    /**
     * Checks whether the server is held and responsive, and has answered a poll that was sent at or
     * after the given time.
     */
    boolean polledSince(long nanos) {
        return isHeld() && !isUnresponsive() && mLastPolledNanos >= nanos;
    }

    void requestPoll() {
        mReachability.requestPoll();
    }

    Collection<ServerRun> runs() {
        return mRuns.runs();
    }

    /** Updates the directory entry; null means that the directory no longer lists the server. */
    void updateEntry(ServerEntry entry) {
        if (mListing.update(entry)) {
            mLease.resetClock();
        }
    }

    /** Updates whether the data centre of the server is evacuated, so that it gets no new tasks. */
    void updateEvacuated(boolean evacuated) {
        mEvacuated = evacuated;
    }

    boolean isEvacuated() {
        return mEvacuated;
    }

    /** Checks whether the server is draining or no longer listed. */
    boolean isLeaving() {
        return mListing.isLeaving();
    }

    /** Checks whether the server is no longer listed and has no tracked runs. */
    boolean isRemovable() {
        return mListing.isDelisted() && mRuns.isEmpty();
    }

    void updateClaim(ClaimMode mode) {
        mClaim.updateMode(mode);
    }

    /** Checks whether a new task may be sent to the server now. */
    boolean acceptsTasks(long nowNanos) {
        return isHeld()
                && mRuns.orphans().isEmpty()
                && !mReachability.isUnresponsive()
                && mLease.isClockKnown()
                && !mListing.isLeaving()
                && !mEvacuated
                && !isLeaseWithheld(nowNanos);
    }

    /**
     * Checks whether the server is likely to accept tasks soon: it is being claimed, or has
     * orphaned runs of an earlier leader whose jobs are still to be handed over.
     */
    boolean isBecomingAvailable(long nowNanos) {
        if (isUnresponsive() || mListing.isLeaving() || mEvacuated) {
            return false;
        }
        return mClaim.isClaimingWithin(mTiming.adoptMillis(), nowNanos)
                || (isHeld() && !mRuns.orphans().isEmpty());
    }

    /** Checks whether a task fits into the slots and capacity that tracked runs leave free. */
    boolean fits(ResourceAmount demand) {
        return mRuns.runs().size() < entry().slots()
                && mRuns.usedCapacity().plus(demand).fitsInto(entry().capacity());
    }

    ResourceAmount usedCapacity() {
        return mRuns.usedCapacity();
    }

    ResourceAmount freeCapacity() {
        return entry().capacity().minus(mRuns.usedCapacity());
    }

    /**
     * Tracks a run and queues its start command. The caller must have checked that the server
     * accepts tasks and that the task fits.
     */
    void start(ServerRun run, String payload, String checkpoint, long nowNanos) {
        run.mToken = token();
        mRuns.add(run);
        mCommands.add(
                new ServerCommand.Start(
                        target(),
                        run.mTask,
                        run.mAttempt,
                        payload,
                        checkpoint,
                        mLease.requestUntilMillis(nowNanos)));
    }

    /** Queues a stop command. The run stays tracked until its end is confirmed. */
    void stop(TaskId task, long nowNanos) {
        mRuns.stop(task, nowNanos);
    }

    void onStartAnswer(ServerCommand.Start command, StartAnswer answer, long nowNanos) {
        if (answer.clockMillis().exists(mLease::showsRestart)) {
            mReachability.requestPoll();
        }
        onStartResult(command, answer.result(), nowNanos);
    }

    private void onStartResult(ServerCommand.Start command, StartResult result, long nowNanos) {
        ServerRun run = mRuns.find(command.task(), command.attempt());
        boolean tracked = run != null;
        switch (result) {
            case STARTED -> {
                mReachability.onAnswer();
                mLease.recordGrant(command.leaseUntilMillis());
                if (tracked) {
                    run.mMayStartLate = false;
                    if (run.mState == ServerRun.State.STARTING) {
                        run.enter(ServerRun.State.RUNNING, nowNanos);
                    }
                }
            }
            case UNANSWERED -> {
                mReachability.onStartUnanswered(nowNanos);
                if (tracked && run.mState == ServerRun.State.STARTING) {
                    run.enter(ServerRun.State.UNCERTAIN, nowNanos);
                }
            }
            default -> {
                if (tracked) {
                    endUnstarted(run, result, nowNanos);
                }
                if (result == StartResult.FENCED) {
                    onFenced(command.target().fencingToken(), nowNanos);
                }
            }
        }
    }

    private void endUnstarted(ServerRun run, StartResult result, long nowNanos) {
        switch (result) {
            case UNHEALTHY, OTHER_INCARNATION, REFUSED ->
                    mHealth.recordFailure(run.mSentNanos, nowNanos);
            case NO_ROOM -> mReachability.requestPoll();
            case NOT_SENT -> mReachability.onUnreachable();
            default -> {}
        }
        boolean superseded = result == StartResult.SUPERSEDED;
        mRuns.end(run, superseded ? RunEnd.ATTEMPT_TOO_LOW : RunEnd.NOT_STARTED, nowNanos);
    }

    void onStopResult(ServerCommand.Stop command, StopResult result, long nowNanos) {
        if (result == StopResult.FENCED) {
            onFenced(command.target().fencingToken(), nowNanos);
        } else if (result == StopResult.ACKNOWLEDGED) {
            mRuns.onStopAcknowledged(command.task(), command.attempt(), nowNanos);
        }
    }

    void onPollResult(ServerCommand.Poll command, PollResult result, long nowNanos) {
        Long sentNanos = mPolls.close(command.number());
        long token = command.target().fencingToken();
        if (sentNanos != null && mClaim.phase() == ServerClaim.Phase.KNOCKING) {
            onKnockResult(result, sentNanos, nowNanos);
            return;
        }
        if (sentNanos == null
                || (token != mClaim.token() && mClaim.phase() != ServerClaim.Phase.PEEKING)) {
            return;
        }
        switch (result.kind()) {
            case ANSWERED -> {
                mReachability.onAnswer();
                onReport(command, result.report().get(), sentNanos, nowNanos);
            }
            case FENCED -> onFenced(token, nowNanos);
            case OTHER_INCARNATION -> {
                mReachability.onUnreachable();
                mLease.resetClock();
                mClaim.pauseBeforeReclaim(nowNanos);
            }
            case UNANSWERED -> onPollUnanswered(sentNanos, nowNanos);
            default -> {
                mReachability.onUnreachable();
                pauseClaim(nowNanos);
            }
        }
    }

    /**
     * Processes the result of a poll that shows only whether the server answers again. It may have
     * been behind a network partition together with a leader that uses it and that is reached
     * within a moment, so it is left alone until then.
     */
    private void onKnockResult(PollResult result, long sentNanos, long nowNanos) {
        switch (result.kind()) {
            case ANSWERED, FENCED -> {
                mReachability.onAnswer();
                mClaim.release();
                mClaim.pause(PARTITION_RECOVERY_MILLIS, nowNanos);
            }
            case UNANSWERED -> onPollUnanswered(sentNanos, nowNanos);
            default -> pauseClaim(nowNanos);
        }
    }

    private void pauseClaim(long nowNanos) {
        mClaim.onUnresponsive();
        mClaim.pause(mReachability.nextPauseMillis(), nowNanos);
    }

    private void onPollUnanswered(long sentNanos, long nowNanos) {
        if (!mReachability.onPollUnanswered(nowNanos)) {
            return;
        }
        pauseClaim(nowNanos);
        if (!mRuns.isEmpty()) {
            mHealth.recordFailure(sentNanos, nowNanos);
        }
    }

    /** Expires the lease, releases or claims the server, and queues the polls that are due. */
    void tick(long nowNanos) {
        expireLease(nowNanos);
        if (mClaim.isModeNone()) {
            mClaim.release();
            mRuns.orphans().clear();
            return;
        }
        if (mClaim.isPaused(nowNanos)) {
            return;
        }
        switch (mClaim.phase()) {
            case UNCLAIMED -> beginClaim(nowNanos);
            case HELD -> maintainHeld(nowNanos);
            default -> {
                if (mPolls.isClaimPollDue(nowNanos)) {
                    sendPoll(Option.none(), 0, nowNanos);
                }
            }
        }
    }

    /** Removes and returns the commands that are to be sent, in order. */
    List<ServerCommand> takeCommands() {
        if (mCommands.isEmpty()) {
            return List.of();
        }
        List<ServerCommand> commands = new ArrayList<>(mCommands);
        mCommands.clear();
        return commands;
    }

    private void beginClaim(long nowNanos) {
        mPolls.clear();
        mClaim.begin(mReachability.isUnresponsive(), nowNanos);
        sendPoll(Option.none(), 0, nowNanos);
    }

    private void maintainHeld(long nowNanos) {
        updateUnsavedWork(nowNanos);
        if (mPermissions.mayAcknowledgeStoredEnds(nowNanos)) {
            mRuns.ends().releaseHeldBack();
        }
        mRuns.stopOverdueOrphans(mTiming.adoptMillis() * NANOS_PER_MILLI, nowNanos);
        mRuns.repeatStops(nowNanos);
        boolean busy = !mRuns.isEmpty() || !mRuns.orphans().isEmpty();
        if (!mPolls.isFull() && mReachability.takePollRequest()) {
            sendPoll(leaseToRequest(nowNanos), 0, nowNanos);
        } else if (isPollDue(busy, nowNanos)) {
            sendPoll(
                    leaseToRequest(nowNanos),
                    mReachability.pollWaitMillis(busy, nowNanos),
                    nowNanos);
        }
    }

    private boolean isPollDue(boolean busy, long nowNanos) {
        if (mRuns.ends().hasRetained() && mPolls.isAnsweredRecently(nowNanos)) {
            return false;
        }
        if (!busy) {
            return mPolls.isEmpty();
        }
        return mPolls.isBusyPollDue(mLease.isRenewalDue(nowNanos), nowNanos)
                || (!mPolls.isFull()
                        && mReachability.isHedgeDue(mPolls.newestAgeMillis(nowNanos), nowNanos));
    }

    /**
     * Returns the end of the lease to request, none if the lease must not be extended. It is
     * extended only while every run on the server is tracked, and not while the server is
     * unresponsive, since its runs could then never be ended.
     */
    private Option<Long> leaseToRequest(long nowNanos) {
        boolean unsafe =
                mReachability.isUnresponsive()
                        || !mRuns.orphans().isEmpty()
                        || !mLease.isClockKnown()
                        || isLeaseWithheld(nowNanos);
        if (mRuns.isEmpty() || unsafe) {
            return Option.none();
        }
        return Option.some(mLease.requestUntilMillis(nowNanos));
    }

    /**
     * Checks whether the lease must not be extended, because the next coordinator may take what the
     * server holds of stored jobs for expired. A start command extends it as well.
     */
    private boolean isLeaseWithheld(long nowNanos) {
        return !mPermissions.mayRunStoredJobs(nowNanos) && mUnsavedWork.exists();
    }

    /** Ends the time in which the lease is withheld once it must have expired. */
    private void updateUnsavedWork(long nowNanos) {
        boolean isWithheld = isLeaseWithheld(nowNanos);
        if (isWithheld && !mLeaseWithheld) {
            mListener.leaseWithheld(this, mUnsavedWork.count());
        }
        mLeaseWithheld = isWithheld;
        if (isWithheld && nowNanos > latestLeaseEndNanos()) {
            mUnsavedWork.onLeaseExpired();
        }
    }

    /**
     * Returns when a lease must have expired that this instance or an earlier one has requested.
     */
    private long latestLeaseEndNanos() {
        long longestMillis = ServerClock.longestMillis(mTiming.maxLeaseMillis());
        long othersEndNanos = mClaimedNanos + longestMillis * NANOS_PER_MILLI;
        return Math.max(othersEndNanos, mLease.latestEndNanos())
                + LEASE_MARGIN_MILLIS * NANOS_PER_MILLI;
    }

    private void sendPoll(Option<Long> lease, long waitMillis, long nowNanos) {
        long number = mPolls.open(nowNanos);
        EndAcknowledgement acknowledgement =
                new EndAcknowledgement(mIncarnationStartMillis, mRuns.ends().acknowledgedUpTo());
        mCommands.add(new ServerCommand.Poll(target(), number, acknowledgement, lease, waitMillis));
    }

    private void onReport(
            ServerCommand.Poll command, PollReport report, long sentNanos, long nowNanos) {
        if (isRestarted(report)) {
            onRestart(report, nowNanos);
            return;
        }
        if (report.startedMillis() != 0) {
            mIncarnationStartMillis = report.startedMillis();
        }
        mLease.sampleClock(report.clockMillis(), nowNanos);
        command.leaseUntilMillis().forEach(mLease::recordGrant);
        boolean newest = mPolls.recordAnswer(command.number(), nowNanos);
        if (mClaim.phase() == ServerClaim.Phase.PEEKING) {
            onPeekReport(report, nowNanos);
            return;
        }
        if (mClaim.phase() == ServerClaim.Phase.CLAIMING) {
            mClaim.onTokenAccepted();
            mClaimedNanos = nowNanos;
            onEarlierTokensFenced(nowNanos);
        }
        mLastPolledNanos = Math.max(mLastPolledNanos, sentNanos);
        mRuns.onReport(report, newest, sentNanos, nowNanos);
    }

    /** Ends the time in which a restarted server may carry out commands with earlier tokens. */
    private void onEarlierTokensFenced(long nowNanos) {
        if (mUnfencedAfterRestart) {
            mUnfencedAfterRestart = false;
            mLease.assumeLongest(nowNanos);
        }
    }

    private void onPeekReport(PollReport report, long nowNanos) {
        if (report.running().isEmpty()) {
            mClaim.raiseToken();
            sendPoll(Option.none(), 0, nowNanos);
        } else {
            mClaim.release();
            mClaim.pauseBeforeReclaim(nowNanos);
        }
    }

    /** Offers orphaned runs to the jobs that have been handed over since the last report. */
    void adoptOrphans(long nowNanos) {
        mRuns.adoptOrphans(nowNanos);
    }

    /** Processes the ends that were retained until all stored jobs had been read. */
    void onStoredJobsRead(long nowNanos) {
        mRuns.onStoredJobsRead(nowNanos);
    }

    private boolean isRestarted(PollReport report) {
        return mIncarnationStartMillis != 0
                && report.startedMillis() != 0
                && report.startedMillis() != mIncarnationStartMillis;
    }

    /**
     * Resets the state after a restart of the server. The new incarnation continues no run and has
     * seen no token, so the server is claimed again.
     */
    private void onRestart(PollReport report, long nowNanos) {
        mIncarnationStartMillis = report.startedMillis();
        mLease.reset(report.clockMillis(), nowNanos);
        mUnsavedWork.onRestart();
        mReachability.onAnswer();
        mPolls.clear();
        mClaim.release();
        mUnfencedAfterRestart = true;
        mLease.assumeLongest(nowNanos);
        mListener.restarted(this, mIncarnationStartMillis);
        mRuns.onRestart(nowNanos);
    }

    private void onFenced(long token, long nowNanos) {
        if (token < mClaim.token()) {
            return;
        }
        onEarlierTokensFenced(nowNanos);
        mRuns.orphans().clear();
        mPolls.clear();
        if (!mClaim.onTokenExceeded(nowNanos)) {
            mListener.fenced(this);
        }
    }

    /** Ends the runs whose last possible lease has expired, as they can no longer be running. */
    private void expireLease(long nowNanos) {
        if (mRuns.isEmpty() || (isHeld() && !mReachability.isUnresponsive())) {
            return;
        }
        boolean claimable = !mClaim.isModeNone() && !mListing.isDelisted();
        if (mUnfencedAfterRestart && claimable) {
            // The server may still start runs, until the answer to the claim shows which of them.
            return;
        }
        long lastNanos = mLease.latestEndNanos() + LEASE_MARGIN_MILLIS * NANOS_PER_MILLI;
        if (nowNanos < lastNanos) {
            return;
        }
        if (isHeld() && !mListing.isDelisted()) {
            mRuns.interruptStarted(nowNanos);
        } else {
            // Start commands under way are fenced if the server is listed and claimed again.
            mClaim.release();
            mRuns.interruptAll(nowNanos);
        }
    }

    private CommandTarget target() {
        boolean isKnocking = mClaim.phase() == ServerClaim.Phase.KNOCKING;
        long token = isKnocking ? ServerClaim.LOWEST_TOKEN : mClaim.token();
        return new CommandTarget(entry().id(), entry().address(), token);
    }
}
