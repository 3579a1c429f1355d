package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wagtailproxy.fleet.EndAcknowledgement;
import org.wagtailproxy.fleet.EndKind;
import org.wagtailproxy.fleet.EndReport;
import org.wagtailproxy.fleet.PollReport;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.fleet.StartAnswer;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.TaskId;

/** A backend server, which may run again after a stop, with a new life under the same id. */
final class UnreliableServer {

    private static final long MAX_LEASE_MILLIS = 1000;
    private static final int STOP_MILLIS = 50;
    private static final long COMMAND_TIMEOUT_MILLIS = 120;
    private static final int SLOTS = 3;

    /** Delay up to which a command reaches the next life of the server that it was sent to. */
    private static final int MAX_MILLIS_ACROSS_LIVES =
            Integer.getInteger("duplicate.run.across.lives.millis", 500);

    private final UnreliableServerSimulation mSimulation;
    final ServerId mId;
    final Map<TaskId, Run> mRunning = new LinkedHashMap<>();
    private final Map<TaskId, Integer> mHighestAttempts = new HashMap<>();
    private final List<EndReport> mEnds = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    boolean mListed = true;
    private boolean mUp = true;
    private boolean mHearsNothing;
    private boolean mSaysNothing;
    private int mLife;
    private long mBornMillis;
    private long mToken;
    private long mLeaseMillis;
    private long mNextEnd;
    private double mClockRate;

    UnreliableServer(ServerId id, UnreliableServerSimulation simulation) {
        mSimulation = simulation;
        mId = id;
        begin();
    }

    /** A run on a simulated server. */
    private static final class Run {
        private final int mAttempt;
        private final double mWorkMillis;
        private double mRemainingMillis;
        private boolean mStopping;

        private Run(int attempt, double workMillis) {
            mAttempt = attempt;
            mWorkMillis = workMillis;
            mRemainingMillis = workMillis;
        }
    }

    /** A poll that waits for an end. */
    private record Waiting(
            UnreliableServerSimulation.Leader leader,
            ServerCommand.Poll poll,
            boolean[] answered) {}

    ServerEntry entry() {
        return new ServerEntry(
                mId,
                UnreliableServerSimulation.SERVICE,
                HostAddress.of("10.0.0.1", 1000),
                DataCentre.of("pwani-a"),
                SLOTS,
                ResourceAmount.of(30_000, 65536, 0),
                Set.of("a"),
                false);
    }

    private void begin() {
        mUp = true;
        mLife++;
        mBornMillis = mSimulation.mNowMillis;
        mToken = 0;
        mLeaseMillis = 0;
        mNextEnd = 1;
        mClockRate = 1 - 0.02 * mSimulation.mRandom.nextDouble();
        mEnds.clear();
        mHighestAttempts.clear();
        mSimulation.note(mId + " life " + mLife);
    }

    private void terminate() {
        mUp = false;
        mRunning.clear();
        mSimulation.note(mId + " life " + mLife + " is over");
        // The connections break.
        for (Waiting each : mWaiting) {
            mSimulation.later(1, () -> fail(each.leader(), each.poll(), false, each.answered()));
        }
        mWaiting.clear();
    }

    void draw() {
        if (mUp && mSimulation.chance(0.0002)) {
            terminate();
            mSimulation.later(
                    1 + mSimulation.mRandom.nextInt(mSimulation.mRandom.nextBoolean() ? 60 : 3000),
                    this::begin);
            if (mSimulation.mRandom.nextBoolean()) {
                unlist(900, 3500);
            }
        }
        if (mSimulation.chance(0.0001)) {
            if (!mSimulation.mChangesLeader) {
                unlist(0, 1500);
            }
        }
        if (!mHearsNothing && mSimulation.chance(0.0002)) {
            mHearsNothing = true;
            mSimulation.later(mSimulation.mRandom.nextInt(3000), () -> mHearsNothing = false);
        }
        if (!mSaysNothing && mSimulation.chance(0.0002)) {
            mSaysNothing = true;
            mSimulation.later(mSimulation.mRandom.nextInt(3000), () -> mSaysNothing = false);
        }
        if (mSimulation.chance(0.00005)) {
            release();
        }
    }

    private void unlist(int afterMillis, int untilMillis) {
        if (!mListed) {
            return;
        }
        mSimulation.later(
                afterMillis,
                () -> {
                    if (mUp && mSimulation.mChangesLeader) {
                        return;
                    }
                    mListed = false;
                    mSimulation.note(mId + " life: unlisted");
                    mSimulation.mLeader.list();
                });
        mSimulation.later(
                untilMillis + 1 + mSimulation.mRandom.nextInt(2000),
                () -> {
                    mListed = true;
                    mSimulation.note(mId + " life: listed");
                    mSimulation.mLeader.list();
                });
    }

    private void release() {
        UnreliableServerSimulation.Leader leader = mSimulation.mLeader;
        leader.mReleased.add(mId);
        leader.list();
        mSimulation.later(
                mSimulation.mRandom.nextInt(1500),
                () -> {
                    leader.mReleased.remove(mId);
                    leader.list();
                });
    }

    private long clock() {
        return 5000 + (long) ((mSimulation.mNowMillis - mBornMillis) * mClockRate);
    }

    void step() {
        if (!mUp) {
            return;
        }
        for (Map.Entry<TaskId, Run> each : List.copyOf(mRunning.entrySet())) {
            Run run = each.getValue();
            run.mRemainingMillis--;
            if (clock() >= mLeaseMillis) {
                end(each.getKey(), EndKind.LAPSED);
            } else if (run.mRemainingMillis <= 0 && !run.mStopping) {
                end(each.getKey(), mSimulation.chance(0.05) ? EndKind.FAILED : EndKind.DONE);
            }
        }
    }

    private void end(TaskId task, EndKind kind) {
        Run run = mRunning.remove(task);
        mSimulation.note(mId + " ends " + task + " run " + run.mAttempt + " " + kind);
        mHighestAttempts.merge(task, run.mAttempt, Math::max);
        mEnds.add(new EndReport(mNextEnd++, task, run.mAttempt, kind, ""));
        List<Waiting> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(this::report);
    }

    void send(UnreliableServerSimulation.Leader leader, ServerCommand command) {
        long timeoutMillis =
                command instanceof ServerCommand.Poll poll
                        ? poll.waitMillis() + COMMAND_TIMEOUT_MILLIS
                        : COMMAND_TIMEOUT_MILLIS;
        boolean[] answered = new boolean[1];
        if (!mUp && mSimulation.mRandom.nextBoolean()) {
            mSimulation.later(2, () -> fail(leader, command, true, answered));
            return;
        }
        mSimulation.later(timeoutMillis, () -> fail(leader, command, false, answered));
        if (mHearsNothing || mSimulation.chance(mSimulation.mLossRate)) {
            if (mSimulation.chance(0.5)) {
                long lateMillis =
                        mSimulation.mRandom.nextInt(3) == 0
                                ? mSimulation.mRandom.nextInt(2000)
                                : 2000 + mSimulation.mRandom.nextInt(10_000);
                int life = mLife;
                mSimulation.later(
                        lateMillis,
                        () -> {
                            if (mLife == life || lateMillis <= MAX_MILLIS_ACROSS_LIVES) {
                                receive(leader, command, new boolean[] {true});
                            }
                        });
            }
            return;
        }
        mSimulation.later(
                1 + mSimulation.mRandom.nextInt(4), () -> receive(leader, command, answered));
    }

    /** Reports the failure of a command that has not been answered. */
    private void fail(
            UnreliableServerSimulation.Leader leader,
            ServerCommand command,
            boolean notSent,
            boolean[] answered) {
        if (answered[0]) {
            return;
        }
        answered[0] = true;
        leader.deliver(
                () -> {
                    long now = mSimulation.nowNanos();
                    if (command instanceof ServerCommand.Start start) {
                        leader.mScheduler.onStartAnswer(
                                start,
                                StartAnswer.of(
                                        notSent ? StartResult.NOT_SENT : StartResult.UNANSWERED),
                                now);
                    } else if (command instanceof ServerCommand.Stop stop) {
                        leader.mScheduler.onStopResult(stop, StopResult.UNANSWERED, now);
                    } else if (command instanceof ServerCommand.Poll poll) {
                        leader.mScheduler.onPollResult(
                                poll,
                                PollResult.of(
                                        notSent
                                                ? PollResult.Kind.NOT_SENT
                                                : PollResult.Kind.UNANSWERED),
                                now);
                    }
                });
    }

    private void receive(
            UnreliableServerSimulation.Leader leader, ServerCommand command, boolean[] answered) {
        if (!mUp) {
            return;
        }
        if (command instanceof ServerCommand.Start start) {
            StartAnswer result = new StartAnswer(start(leader, start), Option.some(clock()));
            answer(
                    leader,
                    answered,
                    () -> leader.mScheduler.onStartAnswer(start, result, mSimulation.nowNanos()));
        } else if (command instanceof ServerCommand.Stop stop) {
            StopResult result = stop(stop);
            answer(
                    leader,
                    answered,
                    () -> leader.mScheduler.onStopResult(stop, result, mSimulation.nowNanos()));
        } else if (command instanceof ServerCommand.Poll poll) {
            poll(leader, poll, answered);
        }
    }

    private void answer(
            UnreliableServerSimulation.Leader leader, boolean[] answered, Runnable action) {
        if (mSaysNothing || mSimulation.chance(mSimulation.mLossRate) || answered[0]) {
            return;
        }
        mSimulation.later(
                1 + mSimulation.mRandom.nextInt(4),
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        leader.deliver(action);
                    }
                });
    }

    private StartResult start(UnreliableServerSimulation.Leader leader, ServerCommand.Start start) {
        if (start.target().fencingToken() < mToken) {
            return StartResult.FENCED;
        }
        mToken = start.target().fencingToken();
        extendLease(start.leaseUntilMillis());
        if (clock() >= mLeaseMillis) {
            return StartResult.TOO_LATE;
        }
        Run running = mRunning.get(start.task());
        if (running != null && running.mAttempt == start.attempt()) {
            return StartResult.STARTED;
        }
        if (mHighestAttempts.getOrDefault(start.task(), 0) >= start.attempt()) {
            return StartResult.SUPERSEDED;
        }
        if (mRunning.size() >= SLOTS) {
            return StartResult.NO_ROOM;
        }
        if (running != null) {
            mSimulation.mViolations.add(
                    mSimulation.mNowMillis + ": second run of " + start.task() + " on " + mId);
        }
        mSimulation.note(
                mId
                        + " starts "
                        + start.task()
                        + " run "
                        + start.attempt()
                        + " of "
                        + leader.mName
                        + ", lease "
                        + (mLeaseMillis - clock()));
        mSimulation.mStarts++;
        mRunning.put(
                start.task(), new Run(start.attempt(), 10 + mSimulation.mRandom.nextInt(1500)));
        mSimulation.checkNotDuplicated(start.task());
        return StartResult.STARTED;
    }

    private void extendLease(long untilMillis) {
        mLeaseMillis = Math.max(mLeaseMillis, Math.min(untilMillis, clock() + MAX_LEASE_MILLIS));
    }

    private StopResult stop(ServerCommand.Stop stop) {
        if (stop.target().fencingToken() < mToken) {
            return StopResult.FENCED;
        }
        mToken = stop.target().fencingToken();
        mHighestAttempts.merge(stop.task(), stop.attempt(), Math::max);
        Run run = mRunning.get(stop.task());
        if (run != null && run.mAttempt <= stop.attempt()) {
            run.mStopping = true;
            mSimulation.later(
                    mSimulation.mRandom.nextInt(STOP_MILLIS),
                    () -> {
                        if (mRunning.get(stop.task()) == run) {
                            end(stop.task(), EndKind.STOPPED);
                        }
                    });
        }
        return StopResult.ACKNOWLEDGED;
    }

    private void poll(
            UnreliableServerSimulation.Leader leader, ServerCommand.Poll poll, boolean[] answered) {
        if (poll.target().fencingToken() < mToken) {
            PollResult fenced = PollResult.of(PollResult.Kind.FENCED);
            answer(
                    leader,
                    answered,
                    () -> leader.mScheduler.onPollResult(poll, fenced, mSimulation.nowNanos()));
            return;
        }
        mToken = poll.target().fencingToken();
        acknowledgeEnds(poll.acknowledgement());
        poll.leaseUntilMillis().forEach(this::extendLease);
        Waiting waiting = new Waiting(leader, poll, answered);
        if (!mEnds.isEmpty() || poll.waitMillis() == 0) {
            report(waiting);
            return;
        }
        mWaiting.add(waiting);
        mSimulation.later(
                poll.waitMillis(),
                () -> {
                    if (mWaiting.remove(waiting)) {
                        report(waiting);
                    }
                });
    }

    /** A transport delivers no acknowledgement to another incarnation. */
    private void acknowledgeEnds(EndAcknowledgement acknowledgement) {
        if (acknowledgement.incarnationStartMillis() == mBornMillis) {
            mEnds.removeIf(end -> end.number() <= acknowledgement.lastNumber());
        }
    }

    private void report(Waiting waiting) {
        List<RunReport> running = new ArrayList<>();
        mRunning.forEach(
                (task, run) -> {
                    double done = 100 * (1 - run.mRemainingMillis / run.mWorkMillis);
                    int percent = (int) Math.max(0, Math.min(100, done));
                    running.add(new RunReport(task, run.mAttempt, percent, ""));
                });
        PollResult result =
                PollResult.answered(
                        new PollReport(clock(), mBornMillis, running, List.copyOf(mEnds)));
        UnreliableServerSimulation.Leader leader = waiting.leader();
        answer(
                leader,
                waiting.answered(),
                () ->
                        leader.mScheduler.onPollResult(
                                waiting.poll(), result, mSimulation.nowNanos()));
    }
}
