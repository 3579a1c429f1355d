package org.wagtailproxy.dispatcher;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
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
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.TaskId;

/** A backend server with leases, fencing tokens and a list of ends, which may restart. */
final class SimulatedServer {

    static final ServiceName SERVICE = ServiceName.of("booking");
    static final int SLOTS = 4;
    static final ResourceAmount DEMAND = ResourceAmount.of(10_000, 64, 0);
    private static final long MAX_LEASE_MILLIS = 1000;
    private static final int MAX_STOP_MILLIS = 50;

    final ServerId mId;
    final SimulatedNetwork.Host mHost;
    final Map<TaskId, Run> mRunning = new TreeMap<>(SimulatedServer::compare);
    boolean mUp;
    boolean mLeaving;
    int mLife;
    long mListedMillis;
    private final VirtualTime mTime;
    final int mSlots;
    private final Runs mRuns;
    private final List<ListedEnd> mEnds = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private final Map<TaskId, Integer> mHighestAttempts = new HashMap<>();
    private long mBornNanos;
    private long mToken;
    private long mLeaseMillis;

    /** When the lease has lapsed last, by the clock of the server. */
    private long mLapsedMillis;

    private long mNextEnd;
    private double mClockRate;

    /** Notified of the runs on all servers. */
    interface Runs {
        void onStarted(TaskId task, SimulatedServer server, Run run);

        void onEnded(TaskId task, SimulatedServer server, Run run, EndKind end);

        /** The server forgets an end, and its lease has not lapsed since that end. */
        void onAcknowledged(TaskId task, int attempt, EndKind end);
    }

    /** A run and the instance that started it. */
    record Run(int attempt, String startedBy, long startedMillis, long workMillis) {
        @Override
        public String toString() {
            return "run " + attempt + " by " + startedBy + " since " + startedMillis + " ms";
        }
    }

    /** An end and the clock of the server when the run ended. */
    private record ListedEnd(EndReport report, long clockMillis) {}

    /** A poll that waits for an end. */
    private record Waiting(Consumer<PollResult> answer) {}

    SimulatedServer(VirtualTime time, String name, String dataCentre, int slots, Runs runs) {
        mTime = time;
        mSlots = slots;
        mRuns = runs;
        mId = ServerId.of(name);
        mHost = new SimulatedNetwork.Host(name, dataCentre);
        begin();
    }

    private static int compare(TaskId one, TaskId other) {
        return one.toString().compareTo(other.toString());
    }

    ServerEntry entry(boolean isLeaving) {
        return new ServerEntry(
                mId,
                SERVICE,
                HostAddress.of("10.0.0.1", 1000),
                DataCentre.of(mHost.dataCentre()),
                mSlots,
                ResourceAmount.of(mSlots * 10_000, 65_536, 0),
                Set.of(),
                isLeaving);
    }

    void begin() {
        mUp = true;
        mLeaving = false;
        mLife++;
        mBornNanos = mTime.nowNanos();
        mToken = 0;
        mLeaseMillis = 0;
        mLapsedMillis = 0;
        mNextEnd = 1;
        mClockRate = 1 - 0.02 * mTime.mRandom.nextDouble();
        mEnds.clear();
        mHighestAttempts.clear();
    }

    void terminate() {
        mUp = false;
        mWaiting.clear();
        mRunning.clear();
    }

    private long clock() {
        return 5000 + (long) ((mTime.nowNanos() - mBornNanos) / 1e6 * mClockRate);
    }

    private long startedMillis() {
        return mBornNanos / 1_000_000;
    }

    private void extendLease(long untilMillis) {
        recordLapse();
        long lease = Math.max(mLeaseMillis, Math.min(untilMillis, clock() + MAX_LEASE_MILLIS));
        if (lease > mLeaseMillis) {
            mLeaseMillis = lease;
            int life = mLife;
            mTime.afterNanos((long) ((lease - clock() + 1) / mClockRate * 1e6), () -> lapse(life));
        }
    }

    private void recordLapse() {
        if (clock() >= mLeaseMillis) {
            mLapsedMillis = mLeaseMillis;
        }
    }

    private void lapse(int life) {
        if (mUp && mLife == life && clock() >= mLeaseMillis) {
            List.copyOf(mRunning.keySet())
                    .forEach(task -> end(task, mRunning.get(task), EndKind.LAPSED));
        }
    }

    private void end(TaskId task, Run run, EndKind kind) {
        if (mRunning.get(task) != run) {
            return;
        }
        mRunning.remove(task);
        mHighestAttempts.merge(task, run.attempt(), Math::max);
        mEnds.add(new ListedEnd(new EndReport(mNextEnd++, task, run.attempt(), kind, ""), clock()));
        mRuns.onEnded(task, this, run, kind);
        List<Waiting> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(each -> each.answer().accept(report()));
    }

    void receiveStart(ServerCommand.Start start, String sender, Consumer<StartAnswer> answer) {
        StartResult result = start(start, sender);
        answer.accept(new StartAnswer(result, Option.some(clock())));
    }

    private StartResult start(ServerCommand.Start start, String sender) {
        if (start.target().fencingToken() < mToken) {
            return StartResult.FENCED;
        }
        mToken = start.target().fencingToken();
        TaskId task = start.task();
        Run running = mRunning.get(task);
        if (running != null && running.attempt() == start.attempt()) {
            extendLease(start.leaseUntilMillis());
            return StartResult.STARTED;
        }
        extendLease(start.leaseUntilMillis());
        if (mHighestAttempts.getOrDefault(task, 0) >= start.attempt()) {
            return StartResult.SUPERSEDED;
        }
        if (clock() >= mLeaseMillis) {
            return StartResult.TOO_LATE;
        }
        if (mRunning.size() >= mSlots) {
            return StartResult.NO_ROOM;
        }
        Run run =
                new Run(
                        start.attempt(),
                        sender,
                        mTime.nowMillis(),
                        Long.parseLong(start.payload()) * mTime.between(70, 150) / 100);
        if (running != null) {
            mTime.violation("TWICE " + task + " on " + mId + ": " + running + " and " + run);
        }
        mRunning.put(task, run);
        mRuns.onStarted(task, this, run);
        EndKind kind = mTime.chance(0.02) ? EndKind.FAILED : EndKind.DONE;
        mTime.after(run.workMillis(), () -> end(task, run, kind));
        return StartResult.STARTED;
    }

    void receiveStop(ServerCommand.Stop stop, Consumer<StopResult> answer) {
        if (stop.target().fencingToken() < mToken) {
            answer.accept(StopResult.FENCED);
            return;
        }
        mToken = stop.target().fencingToken();
        mHighestAttempts.merge(stop.task(), stop.attempt(), Math::max);
        Run run = mRunning.get(stop.task());
        if (run != null && run.attempt() <= stop.attempt()) {
            mTime.after(
                    mTime.between(0, MAX_STOP_MILLIS),
                    () -> end(stop.task(), run, EndKind.STOPPED));
        }
        answer.accept(StopResult.ACKNOWLEDGED);
    }

    void receivePoll(ServerCommand.Poll poll, Consumer<PollResult> answer) {
        if (poll.target().fencingToken() < mToken) {
            answer.accept(PollResult.of(PollResult.Kind.FENCED));
            return;
        }
        mToken = poll.target().fencingToken();
        EndAcknowledgement acknowledgement = poll.acknowledgement();
        if (acknowledgement.incarnationStartMillis() == startedMillis()) {
            acknowledge(acknowledgement.lastNumber());
        }
        poll.leaseUntilMillis().forEach(this::extendLease);
        if (!mEnds.isEmpty() || poll.waitMillis() == 0) {
            answer.accept(report());
            return;
        }
        Waiting waiting = new Waiting(answer);
        mWaiting.add(waiting);
        mTime.after(
                poll.waitMillis(),
                () -> {
                    if (mWaiting.remove(waiting)) {
                        answer.accept(report());
                    }
                });
    }

    private void acknowledge(long lastNumber) {
        recordLapse();
        for (ListedEnd end : List.copyOf(mEnds)) {
            EndReport report = end.report();
            if (report.number() > lastNumber) {
                continue;
            }
            mEnds.remove(end);
            if (mLapsedMillis < end.clockMillis()) {
                mRuns.onAcknowledged(report.task(), report.attempt(), report.kind());
            }
        }
    }

    private PollResult report() {
        List<RunReport> running = new ArrayList<>();
        mRunning.forEach(
                (task, run) -> {
                    long done = 100 * (mTime.nowMillis() - run.startedMillis());
                    int percent = (int) Math.min(100, done / Math.max(1, run.workMillis()));
                    running.add(new RunReport(task, run.attempt(), percent, ""));
                });
        return PollResult.answered(
                new PollReport(
                        clock(),
                        startedMillis(),
                        running,
                        mEnds.stream().map(ListedEnd::report).toList()));
    }
}
