package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Simulates backend servers that use all the freedom of their protocol, and leaders that schedule
 * jobs on them one after the other. Records a violation if a task runs twice at once.
 *
 * <p>All faults are drawn from a seed: lost commands and answers, commands carried out late,
 * servers that stop and start again under the same id, slow lease clocks, servers that disappear
 * from the directory, pauses of the leader's process, and changes of the leader with and without a
 * hand-over. While leaders change, the directory lists all servers that are up, since a leader that
 * inherits a job only knows the listed ones.
 */
final class UnreliableServerSimulation {

    private static final long NANOS_PER_MILLI = 1_000_000;
    static final ServiceName SERVICE = ServiceName.of("booking");
    private static final ResourceAmount DEMAND = ResourceAmount.of(10_000, 64, 0);
    private static final long MAX_LEASE_MILLIS = 1000;
    private static final long RESUBMIT_MILLIS = 1300;

    final List<String> mViolations = new ArrayList<>();
    int mStarts;
    int mCompleted;

    final Random mRandom;
    final boolean mChangesLeader;
    private final Map<ServerId, UnreliableServer> mServers = new TreeMap<>();
    private final Map<JobId, WorkSpec> mOpenJobs = new LinkedHashMap<>();
    private final List<String> mHistory = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long mNextEvent;
    long mNowMillis = 1000;
    private int mNextJob = 1;
    private int mNextLeader = 1;
    Leader mLeader;
    double mLossRate;

    private record Event(long atMillis, long number, Runnable action) {}

    UnreliableServerSimulation(long seed, boolean changesLeader) {
        mRandom = new Random(seed);
        mChangesLeader = changesLeader;
        for (int number = 0; number < 4; number++) {
            UnreliableServer server = new UnreliableServer(ServerId.of("s" + number), this);
            mServers.put(server.mId, server);
        }
        mLeader = new Leader();
        mLeader.list();
    }

    /** Runs the simulation and then waits until no command is under way. */
    void run(long millis) {
        long end = mNowMillis + millis;
        while (mNowMillis < end && mViolations.isEmpty()) {
            mNowMillis++;
            while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= mNowMillis) {
                mEvents.poll().action().run();
            }
            mServers.values().forEach(UnreliableServer::step);
            mLeader.step();
            draw();
        }
    }

    private void draw() {
        if (chance(0.01)) {
            submitNew();
        }
        if (chance(0.0005)) {
            mLossRate = mRandom.nextBoolean() ? 0 : 0.4 * mRandom.nextDouble();
        }
        for (UnreliableServer server : mServers.values()) {
            server.draw();
        }
        if (chance(0.0003)) {
            mLeader.mPausedUntilMillis = mNowMillis + mRandom.nextInt(2500);
        }
        if (mChangesLeader && chance(0.0003)) {
            changeLeader();
        }
    }

    boolean chance(double probability) {
        return mRandom.nextDouble() < probability;
    }

    void later(long millis, Runnable action) {
        mEvents.add(new Event(mNowMillis + millis, mNextEvent++, action));
    }

    long nowNanos() {
        return mNowMillis * NANOS_PER_MILLI;
    }

    void note(String text) {
        mHistory.add(mNowMillis + " " + text);
    }

    private void submitNew() {
        JobId id = new JobId(String.format("%016x", mNextJob++));
        int tasks = 1 + mRandom.nextInt(3);
        long estimateMillis = 20 + mRandom.nextInt(1500);
        WorkSpec spec =
                WorkSpec.of(
                        id,
                        SERVICE,
                        "text",
                        List.of(StepSpec.of(tasks, DEMAND, estimateMillis)),
                        QueueTerms.of(mRandom.nextInt(3), 8, 60, 3));
        mLeader.submit(spec, WorkProgress.NONE);
        if (chance(0.1)) {
            later(mRandom.nextInt(2000), () -> withdraw(id));
        }
    }

    private void withdraw(JobId id) {
        WorkSpec spec = mOpenJobs.remove(id);
        if (spec != null) {
            note("withdraw " + id);
            Leader leader = mLeader;
            leader.deliver(() -> leader.mScheduler.withdraw(id, nowNanos()));
            later(RESUBMIT_MILLIS, () -> mLeader.submit(spec, WorkProgress.NONE));
        }
    }

    private void changeLeader() {
        Leader previous = mLeader;
        if (previous.isPaused()) {
            return;
        }
        boolean handsOver = mRandom.nextBoolean();
        previous.mRetired = true;
        Map<JobId, WorkProgress> progress =
                handsOver ? previous.mScheduler.stepDown() : new HashMap<>();
        mLeader = new Leader();
        note("leader " + mLeader.mName + (handsOver ? " takes over" : " replaces a lost one"));
        mLeader.list();
        for (WorkSpec spec : List.copyOf(mOpenJobs.values())) {
            WorkProgress known =
                    handsOver
                            ? progress.get(spec.id())
                            : WorkProgress.NONE.plusAttempts(64 * mNextLeader);
            if (known != null) {
                later(1 + mRandom.nextInt(60), () -> mLeader.submit(spec, known));
            } else {
                mOpenJobs.remove(spec.id());
            }
        }
    }

    void checkNotDuplicated(TaskId task) {
        List<String> servers = new ArrayList<>();
        for (UnreliableServer server : mServers.values()) {
            if (server.mRunning.containsKey(task)) {
                servers.add(server.mId.value());
            }
        }
        if (servers.size() > 1) {
            String name = task.toString();
            List<String> relevant =
                    mHistory.stream()
                            .filter(
                                    line ->
                                            line.contains(name)
                                                    || line.contains("leader")
                                                    || line.contains(task.job().toString())
                                                    || servers.stream()
                                                            .anyMatch(
                                                                    id ->
                                                                            line.contains(
                                                                                    id + " life")))
                            .toList();
            mViolations.add(
                    mNowMillis
                            + ": "
                            + name
                            + " runs on "
                            + servers
                            + "\n  "
                            + String.join(
                                    "\n  ",
                                    relevant.subList(
                                            Math.max(0, relevant.size() - 40), relevant.size())));
        }
    }

    /** Schedules jobs until the next leader replaces it. */
    final class Leader implements SchedulerListener {
        final String mName = "n" + mNextLeader++;
        final ServiceScheduler mScheduler =
                ServiceScheduler.of(
                        LeaseTiming.of(MAX_LEASE_MILLIS),
                        FencingTokenSource.of(mName),
                        SchedulerTuning.defaults(),
                        ActionPermissions.ALL,
                        this);
        private final List<Runnable> mPending = new ArrayList<>();
        final Set<ServerId> mReleased = new TreeSet<>();
        private long mPausedUntilMillis;
        private boolean mRetired;

        private boolean isPaused() {
            return mNowMillis < mPausedUntilMillis;
        }

        private void step() {
            if (isPaused()) {
                return;
            }
            List<Runnable> pending = List.copyOf(mPending);
            mPending.clear();
            pending.forEach(Runnable::run);
            if (mNowMillis % 20 == 0) {
                if (mChangesLeader) {
                    mScheduler.inheritedJobs().recordServerListRead(nowNanos(), Long.MIN_VALUE / 2);
                }
                mScheduler.tick(nowNanos());
                mScheduler.refuseUnattainable(nowNanos());
            }
            flush();
        }

        /** Delivers an answer or a request, after the pause if the process is paused. */
        void deliver(Runnable action) {
            if (!mRetired) {
                mPending.add(action);
            }
        }

        private void flush() {
            for (ServerCommand command : mScheduler.takeCommands()) {
                mServers.get(command.target().server()).send(this, command);
            }
        }

        private void submit(WorkSpec spec, WorkProgress progress) {
            mOpenJobs.put(spec.id(), spec);
            note("submit " + spec.id() + " to " + mName + " " + progress);
            deliver(
                    () ->
                            mScheduler.submit(
                                    spec,
                                    progress,
                                    nowNanos(),
                                    nowNanos() + 8000 * NANOS_PER_MILLI,
                                    nowNanos()));
        }

        void list() {
            List<ServerEntry> entries = new ArrayList<>();
            for (UnreliableServer server : mServers.values()) {
                if (server.mListed) {
                    entries.add(server.entry());
                }
            }
            deliver(
                    () -> {
                        mScheduler.updateServers(entries, nowNanos());
                        mScheduler.updateClaims(
                                entry ->
                                        mReleased.contains(entry.id())
                                                ? ClaimMode.NONE
                                                : ClaimMode.FIRST);
                    });
        }

        @Override
        public void jobEnded(JobId job, WorkOutcome outcome) {
            WorkSpec spec = mOpenJobs.remove(job);
            if (outcome.kind() == WorkOutcome.Kind.COMPLETE) {
                mCompleted++;
            } else if (outcome.kind() == WorkOutcome.Kind.ABANDONED && spec != null) {
                later(RESUBMIT_MILLIS, () -> mLeader.submit(spec, WorkProgress.NONE));
            }
        }

        @Override
        public void storedJobChanged(StoredJob job, long changeNumber) {}

        @Override
        public void taskPlaced(TaskId task, int attempt, ServerId server, long expectedMillis) {
            note(mName + " places " + task + " run " + attempt + " on " + server);
        }

        @Override
        public void runEnded(
                TaskId task,
                int attempt,
                ServerId server,
                RunEnd end,
                long tookMillis,
                long estimateMillis) {
            note(mName + " sees " + task + " run " + attempt + " on " + server + " " + end);
        }

        @Override
        public void serverClaimChanged(ServerId server, boolean held, long token) {
            note(server + " life: " + (held ? "claimed" : "lost") + " by " + mName + " " + token);
        }
    }
}
