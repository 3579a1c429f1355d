package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.wagtailproxy.fleet.EndKind;
import org.wagtailproxy.fleet.EndReport;
import org.wagtailproxy.fleet.PollReport;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;

/**
 * Backend servers, a clock in steps of a millisecond, and a scheduler that orders them about. Every
 * server checks that no task runs twice at once and that nothing exceeds its room.
 */
final class ServerSimulation {

    static final long MILLI = 1_000_000;
    static final ServiceName SERVICE = ServiceName.of("booking");

    final Map<ServerId, SimulatedServer> mServers = new TreeMap<>();
    final Map<JobId, WorkOutcome> mOutcomes = new LinkedHashMap<>();
    final Map<JobId, Long> mEndedMillis = new HashMap<>();
    final List<String> mViolations = new ArrayList<>();
    final Map<TaskId, Integer> mDone = new HashMap<>();
    final FencingTokenSource mTokens = FencingTokenSource.of("n1");
    final ServiceScheduler mScheduler;
    final Map<JobId, StoredJob> mStored = new HashMap<>();
    int mStarts;

    /** While unset nothing of stored jobs is saved. */
    boolean mSaves = true;

    /** While set the scheduler hears answers, but no round of the clock. */
    boolean mStalled;

    private final List<Event> mEvents = new ArrayList<>();
    private long mNowMillis = 1000;

    private record Event(long atMillis, Runnable work) {}

    ServerSimulation() {
        this(SchedulerTuning.defaults());
    }

    ServerSimulation(SchedulerTuning tuning) {
        mScheduler =
                ServiceScheduler.of(LeaseTiming.of(1000), mTokens, tuning, new RecordingListener());
    }

    SimulatedServer add(String id, double speed, long cpu) {
        SimulatedServer server = new SimulatedServer(ServerId.of(id), speed, cpu);
        mServers.put(server.mId, server);
        list();
        return server;
    }

    void list() {
        List<ServerEntry> entries = new ArrayList<>();
        mServers.values().stream()
                .filter(each -> each.mListed)
                .forEach(s -> entries.add(s.entry()));
        mScheduler.updateServers(entries, nowNanos());
        mScheduler.updateClaims(entry -> mServers.get(entry.id()).mClaim);
    }

    long nowMillis() {
        return mNowMillis;
    }

    long nowNanos() {
        return mNowMillis * MILLI;
    }

    void at(long millis, Runnable work) {
        mEvents.add(new Event(millis, work));
    }

    void later(long millis, Runnable work) {
        at(mNowMillis + millis, work);
    }

    void run(long millis) {
        long end = mNowMillis + millis;
        while (mNowMillis < end) {
            mNowMillis++;
            for (Event event : List.copyOf(mEvents)) {
                if (event.atMillis() <= mNowMillis) {
                    mEvents.remove(event);
                    event.work().run();
                }
            }
            mServers.values().forEach(SimulatedServer::step);
            if (mNowMillis % 20 == 0 && !mStalled) {
                mScheduler.tick(nowNanos());
                mScheduler.refuseUnattainable(nowNanos());
            }
            flush();
        }
    }

    void flush() {
        for (ServerCommand command : mScheduler.takeCommands()) {
            mServers.get(command.target().server()).receive(command);
        }
    }

    private void checkTwice(TaskId task) {
        long runs =
                mServers.values().stream()
                        .filter(server -> server.mUp && server.mRunning.containsKey(task))
                        .count();
        if (runs > 1) {
            mViolations.add(mNowMillis + ": " + task + " runs " + runs + " times at once");
        }
    }

    /** A run on a simulated server. */
    private static final class Run {
        private final int mAttempt;
        private double mLeft;

        private Run(int attempt, double left) {
            mAttempt = attempt;
            mLeft = left;
        }
    }

    /** A look that waits for an end. */
    private record Waiting(ServerCommand.Poll order, long untilMillis) {}

    /** A backend server with the faults that tests set. */
    final class SimulatedServer {
        final ServerId mId;
        double mSpeed;
        boolean mUp = true;
        boolean mListed = true;
        boolean mDraining;
        boolean mFails;
        boolean mHangs;
        boolean mSilent;
        ClaimMode mClaim = ClaimMode.FIRST;
        long mToken;
        long mBorn = 5;
        long mWorkMillis = 60;

        /** Tells how many milliseconds of work each task has done, and goes on from there. */
        boolean mCheckpoints;

        /** The next start gets no answer and is carried out after this many milliseconds. */
        long mLateMillis = -1;

        /** The next start is carried out and its answer is lost. */
        boolean mLosesAnswer;

        final Map<TaskId, Run> mRunning = new LinkedHashMap<>();
        private final Map<TaskId, Integer> mHighest = new HashMap<>();
        private final List<EndReport> mEnds = new ArrayList<>();
        private final List<Waiting> mWaiting = new ArrayList<>();
        private final long mCpu;
        private long mNextEnd = 1;
        private long mLeaseMillis;
        private long mClockOffset = 7_000;

        private SimulatedServer(ServerId id, double speed, long cpu) {
            mId = id;
            mSpeed = speed;
            mCpu = cpu;
        }

        ServerEntry entry() {
            return new ServerEntry(
                    mId,
                    SERVICE,
                    HostAddress.of("10.0.0.1", 1000),
                    DataCentre.of("pwani-a"),
                    8,
                    ResourceAmount.of(mCpu, 65536, 0),
                    Set.of("a"),
                    mDraining);
        }

        int listedEnds() {
            return mEnds.size();
        }

        long clock() {
            return mNowMillis + mClockOffset;
        }

        /**
         * Another leader stops what runs here and starts both tasks of a job, leased for 900 ms.
         */
        void takeOver(long token, JobId job, int attempt) {
            mToken = token;
            for (TaskId task : List.copyOf(mRunning.keySet())) {
                end(task, EndKind.STOPPED);
            }
            mLeaseMillis = clock() + 900;
            mRunning.put(TaskId.of(job, 0, 0), new Run(attempt, mWorkMillis));
            mRunning.put(TaskId.of(job, 0, 1), new Run(attempt, mWorkMillis));
        }

        void die() {
            mUp = false;
            mRunning.clear();
            for (Waiting each : mWaiting) {
                PollResult late = PollResult.of(PollResult.Kind.UNANSWERED);
                later(200, () -> looked(each.order(), late));
            }
            mWaiting.clear();
        }

        void reborn() {
            die();
            mUp = true;
            mBorn++;
            mToken = 0;
            mNextEnd = 1;
            mEnds.clear();
            mHighest.clear();
            mLeaseMillis = 0;
            mClockOffset -= 4_000;
        }

        private void step() {
            if (!mUp) {
                return;
            }
            for (Map.Entry<TaskId, Run> each : List.copyOf(mRunning.entrySet())) {
                if (clock() >= mLeaseMillis) {
                    end(each.getKey(), EndKind.LAPSED);
                    continue;
                }
                each.getValue().mLeft -= mHangs ? 0 : mSpeed;
                if (each.getValue().mLeft <= 0) {
                    end(each.getKey(), mFails ? EndKind.FAILED : EndKind.DONE);
                }
            }
            for (Waiting waiting : List.copyOf(mWaiting)) {
                if (waiting.untilMillis() <= mNowMillis) {
                    mWaiting.remove(waiting);
                    report(waiting.order());
                }
            }
        }

        private void end(TaskId task, EndKind kind) {
            Run run = mRunning.remove(task);
            mHighest.merge(task, run.mAttempt, Math::max);
            mEnds.add(new EndReport(mNextEnd++, task, run.mAttempt, kind, checkpoint(run)));
            if (kind == EndKind.DONE) {
                mDone.merge(task, 1, Integer::sum);
            }
            List<Waiting> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(each -> report(each.order()));
        }

        private String checkpoint(Run run) {
            return mCheckpoints ? Integer.toString((int) (mWorkMillis - run.mLeft)) : "";
        }

        private void receive(ServerCommand command) {
            if (command instanceof ServerCommand.Start start) {
                receiveStart(start);
            } else if (command instanceof ServerCommand.Stop stop) {
                receiveStop(stop);
            } else if (command instanceof ServerCommand.Poll look) {
                receiveLook(look);
            }
        }

        private void receiveStart(ServerCommand.Start start) {
            if (!mUp || mSilent) {
                later(200, () -> started(start, StartResult.UNANSWERED));
            } else if (mLateMillis >= 0) {
                long late = mLateMillis;
                mLateMillis = -1;
                later(late, () -> carryOut(start, clock() + 900));
                later(200, () -> started(start, StartResult.UNANSWERED));
            } else if (mLosesAnswer) {
                mLosesAnswer = false;
                carryOut(start, start.leaseUntilMillis());
                later(200, () -> started(start, StartResult.UNANSWERED));
            } else {
                StartResult result = carryOut(start, start.leaseUntilMillis());
                later(1, () -> started(start, result));
            }
        }

        private StartResult carryOut(ServerCommand.Start start, long lease) {
            if (!mUp || start.target().fencingToken() < mToken) {
                return StartResult.FENCED;
            }
            mToken = start.target().fencingToken();
            if (mHighest.getOrDefault(start.task(), 0) >= start.attempt()) {
                return StartResult.SUPERSEDED;
            }
            mLeaseMillis = Math.max(mLeaseMillis, lease);
            mStarts++;
            int done = start.checkpoint().isEmpty() ? 0 : Integer.parseInt(start.checkpoint());
            mRunning.put(start.task(), new Run(start.attempt(), mWorkMillis - done));
            checkTwice(start.task());
            if (mRunning.size() * 14_000L > mCpu) {
                mViolations.add(mNowMillis + ": " + mId + " is over its room");
            }
            return StartResult.STARTED;
        }

        private void receiveStop(ServerCommand.Stop stop) {
            if (!mUp || mSilent) {
                later(200, () -> stopped(stop, StopResult.UNANSWERED));
                return;
            }
            if (stop.target().fencingToken() < mToken) {
                later(1, () -> stopped(stop, StopResult.FENCED));
                return;
            }
            mToken = stop.target().fencingToken();
            mHighest.merge(stop.task(), stop.attempt(), Math::max);
            if (mRunning.containsKey(stop.task())) {
                later(
                        5,
                        () -> {
                            if (mRunning.containsKey(stop.task())) {
                                end(stop.task(), EndKind.STOPPED);
                            }
                        });
            }
            later(1, () -> stopped(stop, StopResult.ACKNOWLEDGED));
        }

        private void receiveLook(ServerCommand.Poll look) {
            if (!mUp || mSilent) {
                later(200, () -> looked(look, PollResult.of(PollResult.Kind.UNANSWERED)));
                return;
            }
            if (look.target().fencingToken() < mToken) {
                later(1, () -> looked(look, PollResult.of(PollResult.Kind.FENCED)));
                return;
            }
            mToken = look.target().fencingToken();
            mEnds.removeIf(end -> end.number() <= look.acknowledged());
            look.leaseUntilMillis().forEach(until -> mLeaseMillis = Math.max(mLeaseMillis, until));
            if (mEnds.isEmpty() && look.waitMillis() > 0) {
                mWaiting.add(new Waiting(look, mNowMillis + look.waitMillis()));
            } else {
                report(look);
            }
        }

        private void report(ServerCommand.Poll look) {
            if (mSilent) {
                later(200, () -> looked(look, PollResult.of(PollResult.Kind.UNANSWERED)));
                return;
            }
            List<RunReport> running = new ArrayList<>();
            mRunning.forEach(
                    (task, run) -> {
                        double done = 100 * (1 - run.mLeft / mWorkMillis);
                        running.add(new RunReport(task, run.mAttempt, (int) done, checkpoint(run)));
                    });
            PollReport report = new PollReport(clock(), mBorn, running, mEnds);
            later(1, () -> looked(look, PollResult.answered(report)));
        }

        private void started(ServerCommand.Start command, StartResult result) {
            mScheduler.onStartResult(command, result, nowNanos());
        }

        private void stopped(ServerCommand.Stop command, StopResult result) {
            mScheduler.onStopResult(command, result, nowNanos());
        }

        private void looked(ServerCommand.Poll command, PollResult result) {
            mScheduler.onPollResult(command, result, nowNanos());
        }
    }

    /** Notes outcomes. */
    private final class RecordingListener implements SchedulerListener {

        @Override
        public void jobEnded(JobId job, WorkOutcome outcome) {
            mOutcomes.put(job, outcome);
            mEndedMillis.put(job, mNowMillis);
        }

        @Override
        public void storedJobChanged(StoredJob job, long change) {
            mStored.put(job.spec().id(), job);
            if (mSaves) {
                later(5, () -> mScheduler.storedJobs().onSaved(job.spec().id(), change));
            }
        }

        @Override
        public void taskPlaced(TaskId task, int attempt, ServerId server, long expectedMillis) {}

        @Override
        public void runEnded(
                TaskId task,
                int attempt,
                ServerId server,
                RunEnd end,
                long tookMillis,
                long estimateMillis) {}

        @Override
        public void serverClaimChanged(ServerId server, boolean held, long token) {}
    }

    /** Returns the outcome of a job, none while it has none. */
    Option<WorkOutcome.Kind> outcome(JobId job) {
        return Option.of(mOutcomes.get(job)).map(WorkOutcome::kind);
    }
}
