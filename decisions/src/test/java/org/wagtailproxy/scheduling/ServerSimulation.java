package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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
import org.wagtailproxy.leadership.PeerTable;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;

/**
 * Simulates backend servers controlled by a scheduler, with a clock in steps of a millisecond.
 * Records a violation if a task runs twice at once or the tasks on a server exceed its capacity.
 */
final class ServerSimulation {

    static final long NANOS_PER_MILLI = 1_000_000;
    static final ServiceName SERVICE = ServiceName.of("booking");

    final Map<ServerId, SimulatedServer> mServers = new TreeMap<>();
    final Map<JobId, WorkOutcome> mOutcomes = new LinkedHashMap<>();
    final Map<JobId, InheritedJobEvidence> mEvidence = new HashMap<>();
    final Map<JobId, Long> mEndedMillis = new HashMap<>();
    final List<String> mViolations = new ArrayList<>();
    final Map<TaskId, Integer> mDone = new HashMap<>();
    final FencingTokenSource mTokens = FencingTokenSource.of("n1");
    final ServiceScheduler mScheduler;
    final Map<JobId, StoredJob> mStored = new HashMap<>();
    final Map<TaskId, Integer> mLastAttempts = new HashMap<>();
    int mStarts;

    /** While false, changes of stored jobs are not saved. */
    boolean mSaves = true;

    /** While true, the scheduler receives answers but no ticks, as in a pause of its process. */
    boolean mTicksPaused;

    /** The other instances of the pool, one of which may be leading. */
    final PeerTable mPeers = new PeerTable();

    /** If true, another instance of the pool may be leading. */
    boolean mOtherLeaderPossible;

    /** If true, servers may have been added to the directory since the list was updated. */
    boolean mListOutdated;

    /** Since when no server has been listed and removed unnoticed. */
    long mTrackedSinceNanos = Long.MIN_VALUE / 2;

    /** If false, another instance may coordinate the stored jobs. */
    boolean mMayRunStoredJobs = true;

    /** If false, a former coordinator may look for the ends of its runs. */
    boolean mMayAcknowledgeStoredEnds = true;

    private final List<Event> mEvents = new ArrayList<>();
    private long mNowMillis = 1000;

    private record Event(long atMillis, Runnable action) {}

    ServerSimulation() {
        this(SchedulerTuning.defaults());
    }

    ServerSimulation(SchedulerTuning tuning) {
        mScheduler =
                ServiceScheduler.of(
                        LeaseTiming.of(1000),
                        mTokens,
                        tuning,
                        new TestPermissions(),
                        new RecordingListener());
    }

    SimulatedServer add(String id, double speed, long cpu) {
        SimulatedServer server = addUnlisted(id, speed, cpu);
        server.mListed = true;
        list();
        return server;
    }

    /** Adds a server whose entry in the directory has run out. */
    SimulatedServer addUnlisted(String id, double speed, long cpu) {
        SimulatedServer server = new SimulatedServer(ServerId.of(id), speed, cpu);
        server.mListed = false;
        mServers.put(server.mId, server);
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
        return mNowMillis * NANOS_PER_MILLI;
    }

    void at(long millis, Runnable action) {
        mEvents.add(new Event(millis, action));
    }

    void later(long millis, Runnable action) {
        at(mNowMillis + millis, action);
    }

    void run(long millis) {
        long end = mNowMillis + millis;
        while (mNowMillis < end) {
            mNowMillis++;
            for (Event event : List.copyOf(mEvents)) {
                if (event.atMillis() <= mNowMillis) {
                    mEvents.remove(event);
                    event.action().run();
                }
            }
            mServers.values().forEach(SimulatedServer::step);
            if (mNowMillis % 20 == 0 && !mTicksPaused) {
                if (!mOtherLeaderPossible) {
                    mScheduler
                            .inheritedJobs()
                            .recordNoOtherLeader(mPeers.noPeerLedNanos(nowNanos()));
                }
                if (!mListOutdated) {
                    mScheduler.inheritedJobs().recordServerListRead(nowNanos(), mTrackedSinceNanos);
                }
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

    private void checkNotDuplicated(TaskId task) {
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
        private double mRemainingMillis;

        private Run(int attempt, double remainingMillis) {
            mAttempt = attempt;
            mRemainingMillis = remainingMillis;
        }
    }

    /** A poll that waits for an end. */
    private record WaitingPoll(ServerCommand.Poll poll, long untilMillis) {}

    /** Simulates a backend server with the faults that a test sets. */
    final class SimulatedServer {
        final ServerId mId;
        double mSpeed;
        boolean mUp = true;
        boolean mListed = true;
        boolean mDraining;
        boolean mFails;
        boolean mHangs;
        boolean mUnresponsive;
        ClaimMode mClaim = ClaimMode.FIRST;
        long mToken;
        int mPolls;
        int mOwnStarts;
        DataCentre mDataCentre = DataCentre.of("pwani-a");
        long mIncarnationStartMillis = 5;
        long mWorkMillis = 60;

        /** If true, reports the work done in milliseconds as checkpoint and resumes from it. */
        boolean mCheckpoints;

        /** If 0 or more, delays the next start by these milliseconds; its answer is lost. */
        long mNextStartDelayMillis = -1;

        /** If true, the next start is executed and its answer is lost. */
        boolean mLosesAnswer;

        final Map<TaskId, Run> mRunning = new LinkedHashMap<>();
        private final Map<TaskId, Integer> mHighestAttempts = new HashMap<>();
        private final List<EndReport> mEnds = new ArrayList<>();
        private final List<WaitingPoll> mWaiting = new ArrayList<>();
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
                    mDataCentre,
                    8,
                    ResourceAmount.of(mCpu, 65536, 0),
                    Set.of("a"),
                    mDraining);
        }

        boolean hasLease() {
            return clock() < mLeaseMillis;
        }

        int listedEnds() {
            return mEnds.size();
        }

        long clock() {
            return mNowMillis + mClockOffset;
        }

        /**
         * Simulates a claim by another leader, which stops all runs and starts both tasks of a job
         * with a lease of 900 ms.
         */
        void addRunOfEarlierLeader(long token, JobId job, int attempt) {
            mToken = token;
            for (TaskId task : List.copyOf(mRunning.keySet())) {
                end(task, EndKind.STOPPED);
            }
            mLeaseMillis = clock() + 900;
            mRunning.put(TaskId.of(job, 0, 0), new Run(attempt, mWorkMillis));
            mRunning.put(TaskId.of(job, 0, 1), new Run(attempt, mWorkMillis));
            mRunning.keySet().forEach(ServerSimulation.this::checkNotDuplicated);
        }

        void terminate() {
            mUp = false;
            mRunning.clear();
            for (WaitingPoll each : mWaiting) {
                PollResult unanswered = PollResult.of(PollResult.Kind.UNANSWERED);
                later(200, () -> onPollResult(each.poll(), unanswered));
            }
            mWaiting.clear();
        }

        void restart() {
            terminate();
            mUp = true;
            mIncarnationStartMillis++;
            mToken = 0;
            mNextEnd = 1;
            mEnds.clear();
            mHighestAttempts.clear();
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
                each.getValue().mRemainingMillis -= mHangs ? 0 : mSpeed;
                if (each.getValue().mRemainingMillis <= 0) {
                    end(each.getKey(), mFails ? EndKind.FAILED : EndKind.DONE);
                }
            }
            for (WaitingPoll waiting : List.copyOf(mWaiting)) {
                if (waiting.untilMillis() <= mNowMillis) {
                    mWaiting.remove(waiting);
                    report(waiting.poll());
                }
            }
        }

        private void end(TaskId task, EndKind kind) {
            Run run = mRunning.remove(task);
            mHighestAttempts.merge(task, run.mAttempt, Math::max);
            mEnds.add(new EndReport(mNextEnd++, task, run.mAttempt, kind, checkpoint(run)));
            if (kind == EndKind.DONE) {
                mDone.merge(task, 1, Integer::sum);
            }
            List<WaitingPoll> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(each -> report(each.poll()));
        }

        private String checkpoint(Run run) {
            return mCheckpoints ? Integer.toString((int) (mWorkMillis - run.mRemainingMillis)) : "";
        }

        private void receive(ServerCommand command) {
            if (command instanceof ServerCommand.Start start) {
                receiveStart(start);
            } else if (command instanceof ServerCommand.Stop stop) {
                receiveStop(stop);
            } else if (command instanceof ServerCommand.Poll poll) {
                receivePoll(poll);
            }
        }

        private void receiveStart(ServerCommand.Start start) {
            if (!mUp || mUnresponsive) {
                later(200, () -> onStartResult(start, StartResult.UNANSWERED));
            } else if (mNextStartDelayMillis >= 0) {
                long delayMillis = mNextStartDelayMillis;
                mNextStartDelayMillis = -1;
                later(delayMillis, () -> carryOut(start, clock() + 900));
                later(200, () -> onStartResult(start, StartResult.UNANSWERED));
            } else if (mLosesAnswer) {
                mLosesAnswer = false;
                carryOut(start, start.leaseUntilMillis());
                later(200, () -> onStartResult(start, StartResult.UNANSWERED));
            } else {
                StartResult result = carryOut(start, start.leaseUntilMillis());
                long clockMillis = clock();
                later(
                        1,
                        () ->
                                mScheduler.onStartAnswer(
                                        start,
                                        new StartAnswer(result, Option.some(clockMillis)),
                                        nowNanos()));
            }
        }

        private StartResult carryOut(ServerCommand.Start start, long lease) {
            if (!mUp || start.target().fencingToken() < mToken) {
                return StartResult.FENCED;
            }
            mToken = start.target().fencingToken();
            if (mHighestAttempts.getOrDefault(start.task(), 0) >= start.attempt()) {
                return StartResult.SUPERSEDED;
            }
            mLeaseMillis = Math.max(mLeaseMillis, lease);
            mStarts++;
            mOwnStarts++;
            int done = start.checkpoint().isEmpty() ? 0 : Integer.parseInt(start.checkpoint());
            mRunning.put(start.task(), new Run(start.attempt(), mWorkMillis - done));
            checkNotDuplicated(start.task());
            if (mRunning.size() * 14_000L > mCpu) {
                mViolations.add(mNowMillis + ": " + mId + " is over its room");
            }
            return StartResult.STARTED;
        }

        private void receiveStop(ServerCommand.Stop stop) {
            if (!mUp || mUnresponsive) {
                later(200, () -> onStopResult(stop, StopResult.UNANSWERED));
                return;
            }
            if (stop.target().fencingToken() < mToken) {
                later(1, () -> onStopResult(stop, StopResult.FENCED));
                return;
            }
            mToken = stop.target().fencingToken();
            mHighestAttempts.merge(stop.task(), stop.attempt(), Math::max);
            if (mRunning.containsKey(stop.task())) {
                later(
                        5,
                        () -> {
                            if (mRunning.containsKey(stop.task())) {
                                end(stop.task(), EndKind.STOPPED);
                            }
                        });
            }
            later(1, () -> onStopResult(stop, StopResult.ACKNOWLEDGED));
        }

        private void receivePoll(ServerCommand.Poll poll) {
            if (!mUp || mUnresponsive) {
                later(200, () -> onPollResult(poll, PollResult.of(PollResult.Kind.UNANSWERED)));
                return;
            }
            mPolls++;
            if (poll.target().fencingToken() < mToken) {
                later(1, () -> onPollResult(poll, PollResult.of(PollResult.Kind.FENCED)));
                return;
            }
            mToken = poll.target().fencingToken();
            acknowledgeEnds(poll.acknowledgement());
            poll.leaseUntilMillis().forEach(until -> mLeaseMillis = Math.max(mLeaseMillis, until));
            if (mEnds.isEmpty() && poll.waitMillis() > 0) {
                mWaiting.add(new WaitingPoll(poll, mNowMillis + poll.waitMillis()));
            } else {
                report(poll);
            }
        }

        /** A transport delivers no acknowledgement to another incarnation. */
        private void acknowledgeEnds(EndAcknowledgement acknowledgement) {
            if (acknowledgement.incarnationStartMillis() == mIncarnationStartMillis) {
                mEnds.removeIf(end -> end.number() <= acknowledgement.lastNumber());
            }
        }

        private void report(ServerCommand.Poll poll) {
            if (mUnresponsive) {
                later(200, () -> onPollResult(poll, PollResult.of(PollResult.Kind.UNANSWERED)));
                return;
            }
            List<RunReport> running = new ArrayList<>();
            mRunning.forEach(
                    (task, run) -> {
                        double done = 100 * (1 - run.mRemainingMillis / mWorkMillis);
                        running.add(new RunReport(task, run.mAttempt, (int) done, checkpoint(run)));
                    });
            PollReport report = new PollReport(clock(), mIncarnationStartMillis, running, mEnds);
            later(1, () -> onPollResult(poll, PollResult.answered(report)));
        }

        private void onStartResult(ServerCommand.Start command, StartResult result) {
            mScheduler.onStartAnswer(command, StartAnswer.of(result), nowNanos());
        }

        private void onStopResult(ServerCommand.Stop command, StopResult result) {
            mScheduler.onStopResult(command, result, nowNanos());
        }

        private void onPollResult(ServerCommand.Poll command, PollResult result) {
            mScheduler.onPollResult(command, result, nowNanos());
        }
    }

    /** Permits what a test sets. */
    private final class TestPermissions implements ActionPermissions {

        @Override
        public boolean mayRunStoredJobs(long nowNanos) {
            return mMayRunStoredJobs;
        }

        @Override
        public boolean mayAcknowledgeStoredEnds(long nowNanos) {
            return mMayAcknowledgeStoredEnds;
        }
    }

    /** Records outcomes, and confirms changes of stored jobs as saved after 5 ms. */
    private final class RecordingListener implements SchedulerListener {

        @Override
        public void jobEnded(JobId job, WorkOutcome outcome) {
            mOutcomes.put(job, outcome);
            mEndedMillis.put(job, mNowMillis);
        }

        @Override
        public void storedJobChanged(StoredJob job, long changeNumber) {
            mStored.put(job.spec().id(), job);
            if (mSaves) {
                later(5, () -> mScheduler.storedJobs().onSaved(job.spec().id(), changeNumber));
            }
        }

        @Override
        public void inheritedJobReleased(
                JobId job, InheritedJobEvidence evidence, long waitedMillis) {
            mEvidence.put(job, evidence);
        }

        @Override
        public void taskPlaced(TaskId task, int attempt, ServerId server, long expectedMillis) {
            mLastAttempts.put(task, attempt);
        }

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

    /** Returns the kind of a job's outcome, none until the job has ended. */
    Option<WorkOutcome.Kind> outcome(JobId job) {
        return Option.of(mOutcomes.get(job)).map(WorkOutcome::kind);
    }
}
