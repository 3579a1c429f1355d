package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.fleet.CommandTarget;
import org.wagtailproxy.fleet.PollReport;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.TaskId;

/**
 * Keeps account of one backend server: who gives it orders, its lease, and when it is looked at.
 * {@link ServerRuns} has the runs on it. Not safe for use by several threads; the owner holds a
 * lock.
 */
final class BackendServer {

    /** Added to the end of a lease before its runs are given up; timers fire late. */
    private static final long LEASE_MARGIN_MILLIS = 30;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final LeaseTiming mTiming;
    private final ServerClaim mClaim;
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
    private long mLastPolledNanos = Long.MIN_VALUE;

    BackendServer(
            ServerEntry entry,
            LeaseTiming timing,
            FencingTokenSource tokens,
            RunListener listener) {
        mListing = new DirectoryListing(entry);
        mTiming = timing;
        mClaim = new ServerClaim(tokens);
        mListener = listener;
        mLease = new ServerLease(timing);
        mReachability = new ServerReachability(timing);
        mRuns = new ServerRuns(this, listener, new RunCommandSender());
    }

    /** Sends the orders of the account of runs. */
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

    /** Tests whether this instance gives orders to the server. */
    boolean isHeld() {
        return mClaim.isHeld();
    }

    long token() {
        return mClaim.token();
    }

    boolean isUnresponsive() {
        return mReachability.isUnresponsive();
    }

    /** Tests whether this instance gave orders and saw what runs there at or after a moment. */
    boolean polledSince(long nanos) {
        return isHeld() && !isUnresponsive() && mLastPolledNanos >= nanos;
    }

    void requestPoll() {
        mReachability.requestPoll();
    }

    Collection<ServerRun> runs() {
        return mRuns.runs();
    }

    /** Takes over the directory's entry; null once the directory no longer lists the server. */
    void updateEntry(ServerEntry entry) {
        if (mListing.update(entry)) {
            mLease.forgetClock();
        }
    }

    /** Tests whether the server can be forgotten. */
    boolean isRemovable() {
        return mListing.isDelisted() && mRuns.isEmpty();
    }

    void updateClaim(ClaimMode mode) {
        mClaim.updateMode(mode);
    }

    /** Tests whether a new task may be sent here now. */
    boolean acceptsTasks() {
        return isHeld()
                && mRuns.orphans().isEmpty()
                && !mReachability.isUnresponsive()
                && mLease.isClockKnown()
                && !mListing.isLeaving();
    }

    /**
     * Tests whether the server is likely to take tasks soon: it is being claimed, or runs of an
     * earlier leader wait for their jobs to be handed over.
     */
    boolean isBecomingAvailable(long nowNanos) {
        if (isUnresponsive() || mListing.isLeaving()) {
            return false;
        }
        return mClaim.isClaimingWithin(mTiming.adoptMillis(), nowNanos)
                || (isHeld() && !mRuns.orphans().isEmpty());
    }

    /** Tests whether a task fits beside what is accounted for. */
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

    /** Orders a start; the caller has checked that it may be sent and fits. */
    void start(ServerRun run, String payload, String checkpoint, long nowNanos) {
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

    /** Orders a stop; the run leaves the account when its end is proved. */
    void stop(TaskId task, long nowNanos) {
        mRuns.stop(task, nowNanos);
    }

    void onStartResult(ServerCommand.Start command, StartResult result, long nowNanos) {
        ServerRun run = mRuns.find(command.task(), command.attempt());
        boolean tracked = run != null;
        switch (result) {
            case STARTED -> {
                mReachability.onAnswer();
                mLease.recordGrant(command.leaseUntilMillis());
                if (tracked && run.mState == ServerRun.State.STARTING) {
                    run.enter(ServerRun.State.RUNNING, nowNanos);
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
                mLease.forgetClock();
                mClaim.pauseBeforeReclaim(nowNanos);
            }
            case UNANSWERED -> onPollUnanswered(sentNanos, nowNanos);
            default -> {
                mReachability.onUnreachable();
                mClaim.pause(mReachability.nextPauseMillis(), nowNanos);
            }
        }
    }

    private void onPollUnanswered(long sentNanos, long nowNanos) {
        if (!mReachability.onPollUnanswered(nowNanos)) {
            return;
        }
        mClaim.pause(mReachability.nextPauseMillis(), nowNanos);
        if (!mRuns.isEmpty()) {
            mHealth.recordFailure(sentNanos, nowNanos);
        }
    }

    /** Does what is due by the clock. */
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

    /** Takes the orders that are to be sent. */
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
        mClaim.begin(nowNanos);
        sendPoll(Option.none(), 0, nowNanos);
    }

    private void maintainHeld(long nowNanos) {
        mRuns.stopOverdueOrphans(mTiming.adoptMillis() * MILLI, nowNanos);
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
     * A lease is extended only while everything that runs there is accounted for, and not while the
     * server is silent, since its runs could then never be given up.
     */
    private Option<Long> leaseToRequest(long nowNanos) {
        boolean unsafe =
                mReachability.isUnresponsive()
                        || !mRuns.orphans().isEmpty()
                        || !mLease.isClockKnown();
        return mRuns.isEmpty() || unsafe
                ? Option.none()
                : Option.some(mLease.requestUntilMillis(nowNanos));
    }

    private void sendPoll(Option<Long> lease, long waitMillis, long nowNanos) {
        long number = mPolls.open(nowNanos);
        mCommands.add(
                new ServerCommand.Poll(
                        target(), number, mRuns.ends().acknowledgedUpTo(), lease, waitMillis));
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
        }
        mLastPolledNanos = Math.max(mLastPolledNanos, sentNanos);
        mRuns.onReport(report, newest, sentNanos, nowNanos);
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

    /** Offers runs of an earlier leader to the jobs that have been handed over meanwhile. */
    void adoptOrphans(long nowNanos) {
        mRuns.adoptOrphans(nowNanos);
    }

    /** Takes note that all stored jobs are known. */
    void onStoredJobsRead(long nowNanos) {
        mRuns.onStoredJobsRead(nowNanos);
    }

    private boolean isRestarted(PollReport report) {
        return mIncarnationStartMillis != 0
                && report.startedMillis() != 0
                && report.startedMillis() != mIncarnationStartMillis;
    }

    /** A new incarnation runs nothing of before and has seen no token, so it is claimed anew. */
    private void onRestart(PollReport report, long nowNanos) {
        mIncarnationStartMillis = report.startedMillis();
        mLease.reset(report.clockMillis(), nowNanos);
        mReachability.onAnswer();
        mPolls.clear();
        mClaim.release();
        mRuns.onRestart(nowNanos);
    }

    private void onFenced(long token, long nowNanos) {
        if (token < mClaim.token()) {
            return;
        }
        mRuns.orphans().clear();
        mPolls.clear();
        if (!mClaim.onTokenExceeded(nowNanos)) {
            mListener.fenced(this);
        }
    }

    /** Gives up runs whose last possible lease has run out; nothing of them is alive. */
    private void expireLease(long nowNanos) {
        if (mRuns.isEmpty() || (isHeld() && !mReachability.isUnresponsive())) {
            return;
        }
        long lastNanos = mLease.latestEndNanos() + LEASE_MARGIN_MILLIS * MILLI;
        if (nowNanos < lastNanos) {
            return;
        }
        if (isHeld() && !mListing.isDelisted()) {
            mRuns.interruptStarted(nowNanos);
        } else {
            mRuns.interruptAll(nowNanos);
        }
    }

    private CommandTarget target() {
        return new CommandTarget(entry().id(), entry().address(), mClaim.token());
    }
}
