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
    private final ServerClaim mHold;
    private final RunListener mListener;
    private final ServerLease mLease;
    private final ServerReachability mContact;
    private final ServerHealth mHealth = new ServerHealth();
    private final ServerSlowdown mPace = new ServerSlowdown();
    private final ServerRuns mRuns;
    private final OutstandingPolls mPolls = new OutstandingPolls();
    private final List<ServerCommand> mCommands = new ArrayList<>();
    private final DirectoryListing mListing;
    private long mBornMillis;
    private long mSeenNanos = Long.MIN_VALUE;

    BackendServer(
            ServerEntry entry,
            LeaseTiming timing,
            FencingTokenSource tokens,
            RunListener listener) {
        mListing = new DirectoryListing(entry);
        mTiming = timing;
        mHold = new ServerClaim(tokens);
        mListener = listener;
        mLease = new ServerLease(timing);
        mContact = new ServerReachability(timing);
        mRuns = new ServerRuns(this, listener, new RunOrders());
    }

    /** Sends the orders of the account of runs. */
    private final class RunOrders implements ServerRuns.Orders {

        @Override
        public void stop(TaskId task, int attempt) {
            mCommands.add(new ServerCommand.Stop(recipient(), task, attempt));
        }

        @Override
        public void wantLook() {
            mContact.wantLook();
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
        return mPace;
    }

    /** Tests whether this instance gives orders to the server. */
    boolean isHeld() {
        return mHold.held();
    }

    long token() {
        return mHold.token();
    }

    boolean isUnresponsive() {
        return mContact.silent();
    }

    /** Tests whether this instance gave orders and saw what runs there at or after a moment. */
    boolean polledSince(long nanos) {
        return isHeld() && !isUnresponsive() && mSeenNanos >= nanos;
    }

    void requestPoll() {
        mContact.wantLook();
    }

    Collection<ServerRun> runs() {
        return mRuns.runs();
    }

    /** Takes over the directory's entry; null once the directory no longer lists the server. */
    void updateEntry(ServerEntry entry) {
        if (mListing.list(entry)) {
            mLease.forgetClock();
        }
    }

    /** Tests whether the server can be forgotten. */
    boolean isRemovable() {
        return mListing.gone() && mRuns.isEmpty();
    }

    void updateClaim(ClaimMode claim) {
        mHold.want(claim);
    }

    /** Tests whether a new task may be sent here now. */
    boolean acceptsTasks() {
        return isHeld()
                && mRuns.foreign().isEmpty()
                && !mContact.silent()
                && mLease.known()
                && !mListing.leaving();
    }

    /**
     * Tests whether the server is likely to take tasks soon: it is being claimed, or runs of an
     * earlier leader wait for their jobs to be handed over.
     */
    boolean isBecomingAvailable(long nowNanos) {
        if (isUnresponsive() || mListing.leaving()) {
            return false;
        }
        return mHold.claimsSince(mTiming.adoptMillis(), nowNanos)
                || (isHeld() && !mRuns.foreign().isEmpty());
    }

    /** Tests whether a task fits beside what is accounted for. */
    boolean fits(ResourceAmount demand) {
        return mRuns.runs().size() < entry().slots()
                && mRuns.used().plus(demand).fitsInto(entry().capacity());
    }

    ResourceAmount usedCapacity() {
        return mRuns.used();
    }

    ResourceAmount freeCapacity() {
        return entry().capacity().minus(mRuns.used());
    }

    /** Orders a start; the caller has checked that it may be sent and fits. */
    void start(ServerRun run, String payload, String checkpoint, long nowNanos) {
        mRuns.add(run);
        mCommands.add(
                new ServerCommand.Start(
                        recipient(),
                        run.mTask,
                        run.mAttempt,
                        payload,
                        checkpoint,
                        mLease.ask(nowNanos)));
    }

    /** Orders a stop; the run leaves the account when its end is proved. */
    void stop(TaskId task, long nowNanos) {
        mRuns.stop(task, nowNanos);
    }

    void onStartResult(ServerCommand.Start command, StartResult result, long nowNanos) {
        ServerRun run = mRuns.find(command.task(), command.attempt());
        boolean current = run != null;
        switch (result) {
            case STARTED -> {
                mContact.answered();
                mLease.granted(command.leaseUntilMillis());
                if (current && run.mState == ServerRun.State.STARTING) {
                    run.enter(ServerRun.State.RUNNING, nowNanos);
                }
            }
            case UNANSWERED -> {
                mContact.startUnanswered(nowNanos);
                if (current && run.mState == ServerRun.State.STARTING) {
                    run.enter(ServerRun.State.UNCERTAIN, nowNanos);
                }
            }
            default -> {
                if (current) {
                    refused(run, result, nowNanos);
                }
                if (result == StartResult.FENCED) {
                    fenced(command.target().fencingToken(), nowNanos);
                }
            }
        }
    }

    private void refused(ServerRun run, StartResult result, long nowNanos) {
        switch (result) {
            case UNHEALTHY, OTHER_INCARNATION, REFUSED ->
                    mHealth.recordFailure(run.mSentNanos, nowNanos);
            case NO_ROOM -> mContact.wantLook();
            case NOT_SENT -> mContact.unreachable();
            default -> {}
        }
        boolean old = result == StartResult.SUPERSEDED;
        mRuns.end(run, old ? RunEnd.ATTEMPT_TOO_LOW : RunEnd.NOT_STARTED, nowNanos);
    }

    void onStopResult(ServerCommand.Stop command, StopResult result, long nowNanos) {
        if (result == StopResult.FENCED) {
            fenced(command.target().fencingToken(), nowNanos);
        } else if (result == StopResult.ACKNOWLEDGED) {
            mRuns.stopAcknowledged(command.task(), command.attempt(), nowNanos);
        }
    }

    void onPollResult(ServerCommand.Poll command, PollResult result, long nowNanos) {
        Long sentNanos = mPolls.close(command.number());
        long token = command.target().fencingToken();
        if (sentNanos == null
                || (token != mHold.token() && mHold.phase() != ServerClaim.Phase.PEEKING)) {
            return;
        }
        switch (result.kind()) {
            case ANSWERED -> {
                mContact.answered();
                report(command, result.report().get(), sentNanos, nowNanos);
            }
            case FENCED -> fenced(token, nowNanos);
            case OTHER_INCARNATION -> {
                mContact.unreachable();
                mLease.forgetClock();
                mHold.pauseClaim(nowNanos);
            }
            case UNANSWERED -> unanswered(sentNanos, nowNanos);
            default -> {
                mContact.unreachable();
                mHold.pause(mContact.pauseMillis(), nowNanos);
            }
        }
    }

    private void unanswered(long sentNanos, long nowNanos) {
        if (!mContact.lookUnanswered(nowNanos)) {
            return;
        }
        mHold.pause(mContact.pauseMillis(), nowNanos);
        if (!mRuns.isEmpty()) {
            mHealth.recordFailure(sentNanos, nowNanos);
        }
    }

    /** Does what is due by the clock. */
    void tick(long nowNanos) {
        expireLease(nowNanos);
        if (mHold.unwanted()) {
            mHold.release();
            mRuns.foreign().clear();
            return;
        }
        if (mHold.pauses(nowNanos)) {
            return;
        }
        switch (mHold.phase()) {
            case UNCLAIMED -> begin(nowNanos);
            case HELD -> hold(nowNanos);
            default -> {
                if (mPolls.claimDue(nowNanos)) {
                    look(Option.none(), 0, nowNanos);
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

    private void begin(long nowNanos) {
        mPolls.clear();
        mHold.begin(nowNanos);
        look(Option.none(), 0, nowNanos);
    }

    private void hold(long nowNanos) {
        mRuns.stopOverdueForeign(mTiming.adoptMillis() * MILLI, nowNanos);
        mRuns.stopAgain(nowNanos);
        boolean busy = !mRuns.isEmpty() || !mRuns.foreign().isEmpty();
        if (!mPolls.full() && mContact.takeLookNow()) {
            look(lease(nowNanos), 0, nowNanos);
        } else if (lookDue(busy, nowNanos)) {
            look(lease(nowNanos), mContact.waitMillis(busy, nowNanos), nowNanos);
        }
    }

    private boolean lookDue(boolean busy, long nowNanos) {
        if (mRuns.ends().holds() && mPolls.reportedLately(nowNanos)) {
            return false;
        }
        if (!busy) {
            return mPolls.isEmpty();
        }
        return mPolls.due(mLease.renewalDue(nowNanos), nowNanos)
                || (!mPolls.full() && mContact.hedgeDue(mPolls.newestMillis(nowNanos), nowNanos));
    }

    /**
     * A lease is extended only while everything that runs there is accounted for, and not while the
     * server is silent, since its runs could then never be given up.
     */
    private Option<Long> lease(long nowNanos) {
        boolean unsafe = mContact.silent() || !mRuns.foreign().isEmpty() || !mLease.known();
        return mRuns.isEmpty() || unsafe ? Option.none() : Option.some(mLease.ask(nowNanos));
    }

    private void look(Option<Long> lease, long waitMillis, long nowNanos) {
        long number = mPolls.open(nowNanos);
        mCommands.add(
                new ServerCommand.Poll(
                        recipient(), number, mRuns.ends().forgettable(), lease, waitMillis));
    }

    private void report(
            ServerCommand.Poll command, PollReport report, long sentNanos, long nowNanos) {
        if (isReborn(report)) {
            reborn(report, nowNanos);
            return;
        }
        if (report.startedMillis() != 0) {
            mBornMillis = report.startedMillis();
        }
        mLease.sample(report.clockMillis(), nowNanos);
        command.leaseUntilMillis().forEach(mLease::granted);
        boolean newest = mPolls.reported(command.number(), nowNanos);
        if (mHold.phase() == ServerClaim.Phase.PEEKING) {
            peeked(report, nowNanos);
            return;
        }
        if (mHold.phase() == ServerClaim.Phase.CLAIMING) {
            mHold.accepted();
        }
        mSeenNanos = Math.max(mSeenNanos, sentNanos);
        mRuns.report(report, newest, sentNanos, nowNanos);
    }

    private void peeked(PollReport report, long nowNanos) {
        if (report.running().isEmpty()) {
            mHold.raise();
            look(Option.none(), 0, nowNanos);
        } else {
            mHold.release();
            mHold.pauseClaim(nowNanos);
        }
    }

    /** Offers runs of an earlier leader to the jobs that have been handed over meanwhile. */
    void adoptOrphans(long nowNanos) {
        mRuns.adoptForeign(nowNanos);
    }

    /** Takes note that all stored jobs are known. */
    void onStoredJobsRead(long nowNanos) {
        mRuns.storedJobsRead(nowNanos);
    }

    private boolean isReborn(PollReport report) {
        return mBornMillis != 0
                && report.startedMillis() != 0
                && report.startedMillis() != mBornMillis;
    }

    /** A new incarnation runs nothing of before and has seen no token, so it is claimed anew. */
    private void reborn(PollReport report, long nowNanos) {
        mBornMillis = report.startedMillis();
        mLease.reborn(report.clockMillis(), nowNanos);
        mContact.answered();
        mPolls.clear();
        mHold.release();
        mRuns.reborn(nowNanos);
    }

    private void fenced(long token, long nowNanos) {
        if (token < mHold.token()) {
            return;
        }
        mRuns.foreign().clear();
        mPolls.clear();
        if (!mHold.exceeded(nowNanos)) {
            mListener.fenced(this);
        }
    }

    /** Gives up runs whose last possible lease has run out; nothing of them is alive. */
    private void expireLease(long nowNanos) {
        if (mRuns.isEmpty() || (isHeld() && !mContact.silent())) {
            return;
        }
        long lastNanos = mLease.latestEndNanos() + LEASE_MARGIN_MILLIS * MILLI;
        if (nowNanos < lastNanos) {
            return;
        }
        if (isHeld() && !mListing.gone()) {
            mRuns.interruptStarted(nowNanos);
        } else {
            mRuns.interruptAll(nowNanos);
        }
    }

    private CommandTarget recipient() {
        return new CommandTarget(entry().id(), entry().address(), mHold.token());
    }
}
