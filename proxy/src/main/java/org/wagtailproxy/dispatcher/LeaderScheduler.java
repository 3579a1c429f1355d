package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.SuspensionDetector;
import org.wagtailproxy.scheduling.ClaimMode;
import org.wagtailproxy.scheduling.FencingTokenSource;
import org.wagtailproxy.scheduling.JobPhase;
import org.wagtailproxy.scheduling.RunEnd;
import org.wagtailproxy.scheduling.SchedulerListener;
import org.wagtailproxy.scheduling.SchedulerState;
import org.wagtailproxy.scheduling.ServiceScheduler;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** The leader's part: schedules the jobs of its group on the backend servers it gives orders to. */
final class LeaderScheduler {

    /** Pause between rounds of the clock while jobs are open. */
    private static final long BUSY_TICK_MILLIS = 20;

    private static final long STALL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(ServiceScheduler.MAX_TICK_PAUSE_MILLIS);

    /** Time in which jobs from the other side of a cut come, and servers are listed again. */
    private static final long HEALED_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final CommandSender mOrders;
    private final FencingTokenSource mTokens;
    private final DecisionLog mLog;
    private final Forwarder mForwarder;
    private final Listener mListener;
    private final StoredJobCoordinator mCoordinator;
    private final Map<ServiceName, ServiceScheduler> mSchedulers = new TreeMap<>();
    private final Map<JobId, PendingJob> mPendingJobs = new HashMap<>();
    private Collection<ServerEntry> mEntries = List.of();
    private boolean mTicking;

    /** Until the first round it is not known whether there are stored jobs. */
    private boolean mStoredJobsExpected = true;

    private long mDistrustUntilNanos = Long.MIN_VALUE;
    private long mTickNanos;
    private final SuspensionDetector mSuspensions;
    private Function<ServerEntry, ClaimMode> mClaims = entry -> ClaimMode.NONE;

    /** Hears what casts doubt on the leadership. */
    interface Listener {

        /** This machine may have been suspended. */
        void suspended();

        /** Another instance gives orders to a server. */
        void fenced(ServerEntry server);
    }

    LeaderScheduler(
            DispatcherSettings settings,
            EventLoop loop,
            CommandTransport orders,
            FencingTokenSource tokens,
            DecisionLog log,
            Forwarder forwarder,
            Listener listener,
            Function<StoredJobCoordinator.Schedulers, StoredJobCoordinator> coordinator) {
        mSettings = settings;
        mLoop = loop;
        mOrders = new CommandSender(orders, log, this::now, this::flush);
        mTokens = tokens;
        mLog = log;
        mForwarder = forwarder;
        mListener = listener;
        mSuspensions = new SuspensionDetector(loop.nowNanos(), loop.wallMillis());
        mCoordinator = coordinator.apply(new KeptSchedulers());
    }

    StoredJobCoordinator keeper() {
        return mCoordinator;
    }

    /**
     * Takes over whether this instance may keep the stored jobs.
     *
     * @param may true if it leads a majority
     * @param kept true if any leader is known to have kept one
     */
    void keep(boolean may, boolean kept) {
        if (may) {
            mCoordinator.begin();
        } else {
            mCoordinator.giveUp();
        }
        mCoordinator.tick();
        mStoredJobsExpected = kept || mCoordinator.isReading();
        for (ServiceScheduler scheduler : mSchedulers.values()) {
            scheduler.storedJobs().setUnreadJobsPossible(mStoredJobsExpected, now());
        }
    }

    /** Takes over the backend servers of the data centre. */
    void list(Collection<ServerEntry> entries) {
        mEntries = entries;
        for (ServerEntry entry : entries) {
            scheduler(entry.service());
        }
        mSchedulers.forEach(this::list);
        flush();
    }

    /** Takes over how strong the claims are; stops leading if there is none to any server. */
    void claim(Function<ServerEntry, ClaimMode> claims, boolean leads) {
        mClaims = claims;
        if (!leads) {
            abdicate();
        }
        for (ServiceScheduler scheduler : mSchedulers.values()) {
            scheduler.updateClaims(claims);
            scheduler.tick(now());
        }
        flush();
    }

    /**
     * Schedules a job, or joins the one of the same id.
     *
     * @param home the instance that answers the caller
     * @param mayForward true if another data centre may run it
     * @param answer takes the outcome, or what is done if the job has to go to another leader
     */
    void submit(
            WorkSpec spec,
            WorkProgress progress,
            long arrivedNanos,
            long deadlineNanos,
            InstanceName home,
            boolean mayForward,
            Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        long nowNanos = now();
        if (spec.isStored()) {
            mCoordinator.accept(spec, arrivedNanos, answer);
            return;
        }
        if (mForwarder.join(spec.id(), home, answer)) {
            return;
        }
        PendingJob pendingJob = mPendingJobs.computeIfAbsent(spec.id(), id -> new PendingJob(spec));
        pendingJob.homes().put(home, answer);
        pendingJob.expect(arrivedNanos, deadlineNanos, mayForward);
        ServiceScheduler scheduler = scheduler(spec.service());
        scheduler.submit(spec, progress, arrivedNanos, deadlineNanos, nowNanos);
        if (scheduler.phase(spec.id()) == JobPhase.WAITING) {
            forward(scheduler, spec);
            scheduler.refuseIfUnattainable(spec.id(), nowNanos);
        }
        flush();
        tickWhileBusy();
    }

    /** Finds out whether the machine may have been suspended since the last event. */
    void noticeSuspension() {
        now();
    }

    /**
     * Returns the monotonic time. If the machine may have been suspended nothing is placed before
     * the peers have answered, since another instance may lead by now.
     */
    private long now() {
        long nowNanos = mLoop.nowNanos();
        if (mSuspensions.mayHaveBeenSuspended(nowNanos, mLoop.wallMillis())) {
            mTickNanos = nowNanos - 2 * STALL_NANOS;
            mSchedulers.values().forEach(ServiceScheduler::suspendPlacement);
            mListener.suspended();
        }
        return nowNanos;
    }

    /** Rounds are frequent only while there are jobs. */
    private void tickWhileBusy() {
        if (mTicking || (mPendingJobs.isEmpty() && !mCoordinator.keepsAny())) {
            return;
        }
        mTicking = true;
        mLoop.later(
                BUSY_TICK_MILLIS,
                () -> {
                    mTicking = false;
                    // After a stall the dispatcher's round looks at the peers before it ticks.
                    if (now() - mTickNanos < STALL_NANOS) {
                        tick();
                    }
                    tickWhileBusy();
                });
    }

    /** Forwards jobs that have not begun to data centres with room, or refuses them. */
    private void turnAway(ServiceScheduler scheduler, long nowNanos) {
        for (WorkSpec spec : scheduler.unstartedJobs()) {
            forward(scheduler, spec);
        }
        scheduler.refuseUnattainable(nowNanos);
    }

    private void forward(ServiceScheduler scheduler, WorkSpec spec) {
        PendingJob pendingJob = mPendingJobs.get(spec.id());
        if (pendingJob != null && pendingJob.mayForward() && mForwarder.forward(spec, pendingJob)) {
            scheduler.removeUnstarted(spec.id());
            mPendingJobs.remove(spec.id());
        }
    }

    /** Takes note that instances on the other side of a cut are back. */
    void healed() {
        mDistrustUntilNanos = now() + HEALED_NANOS;
        mSchedulers
                .values()
                .forEach(scheduler -> scheduler.assumeIncompleteServerList(mDistrustUntilNanos));
    }

    /** Gives up the interest of an instance in a job; without any interest the job is stopped. */
    void withdraw(JobId job, InstanceName home) {
        PendingJob pendingJob = mPendingJobs.get(job);
        if (pendingJob == null) {
            mForwarder.withdraw(job, home);
            return;
        }
        pendingJob.homes().remove(home);
        if (pendingJob.homes().isEmpty()) {
            mPendingJobs.remove(job);
            mLog.jobWithdrawn(job, home);
            scheduler(pendingJob.service()).withdraw(job, now());
            flush();
        }
    }

    /** Stops the jobs whose callers' instances are gone. */
    void withdrawLost(Predicate<InstanceName> alive) {
        for (Map.Entry<JobId, PendingJob> each : List.copyOf(mPendingJobs.entrySet())) {
            for (InstanceName home : List.copyOf(each.getValue().homes().keySet())) {
                if (!alive.test(home)) {
                    withdraw(each.getKey(), home);
                }
            }
        }
    }

    void tick() {
        long nowNanos = now();
        mTickNanos = nowNanos;
        for (ServiceScheduler scheduler : mSchedulers.values()) {
            scheduler.tick(nowNanos);
            turnAway(scheduler, nowNanos);
        }
        flush();
    }

    /** Sums the processor room that no task takes up. */
    long freeCpuMillis() {
        return state().stream().mapToLong(SchedulerState::freeCpuMillis).sum();
    }

    /** Tells what the scheduler of each service holds. */
    List<SchedulerState> state() {
        List<SchedulerState> states = new ArrayList<>();
        for (ServiceScheduler scheduler : mSchedulers.values()) {
            states.add(scheduler.state(now()));
        }
        return states;
    }

    /** Returns the longest wait of a job that came now. */
    long queueMillis() {
        double longest = 0;
        for (ServiceScheduler scheduler : mSchedulers.values()) {
            longest = Math.max(longest, scheduler.estimatedWaitMillis(now()));
        }
        return Math.round(Math.ceil(longest));
    }

    private void abdicate() {
        mCoordinator.handOver();
        Map<JobId, WorkProgress> moved = new HashMap<>();
        for (ServiceScheduler scheduler : mSchedulers.values()) {
            moved.putAll(scheduler.stepDown());
        }
        mSchedulers.forEach(this::list);
        List<Map.Entry<JobId, PendingJob>> pendingJobs = new ArrayList<>(mPendingJobs.entrySet());
        mPendingJobs.clear();
        for (Map.Entry<JobId, PendingJob> each : pendingJobs) {
            mLog.jobHandedOver(each.getKey());
            WorkProgress progress = moved.getOrDefault(each.getKey(), WorkProgress.NONE);
            each.getValue().homes().values().forEach(home -> home.accept(Either.left(progress)));
        }
    }

    private ServiceScheduler scheduler(ServiceName service) {
        return mSchedulers.computeIfAbsent(
                service,
                name -> {
                    ServiceScheduler scheduler =
                            ServiceScheduler.of(
                                    mSettings.timing(),
                                    mTokens,
                                    mSettings.tuning(),
                                    new Outcomes());
                    list(name, scheduler);
                    scheduler.assumeIncompleteServerList(mDistrustUntilNanos);
                    scheduler.storedJobs().setUnreadJobsPossible(mStoredJobsExpected, now());
                    if (mCoordinator.keeps()) {
                        scheduler.storedJobs().onAllRead(now());
                    }
                    return scheduler;
                });
    }

    private void list(ServiceName service, ServiceScheduler scheduler) {
        List<ServerEntry> own = new ArrayList<>();
        for (ServerEntry entry : mEntries) {
            if (entry.service().equals(service)) {
                own.add(entry);
            }
        }
        scheduler.updateServers(own, now());
        scheduler.updateClaims(mClaims);
    }

    private void flush() {
        for (ServiceScheduler scheduler : mSchedulers.values()) {
            for (ServerCommand command : scheduler.takeCommands()) {
                mOrders.send(scheduler, command);
            }
        }
    }

    /** Lets the keeper run its jobs. */
    private final class KeptSchedulers implements StoredJobCoordinator.Schedulers {

        @Override
        public ServiceScheduler of(ServiceName service) {
            return scheduler(service);
        }

        @Override
        public void storedJobsRead() {
            mSchedulers.values().forEach(each -> each.storedJobs().onAllRead(now()));
        }

        @Override
        public void giveUpStoredJobs() {
            mSchedulers.values().forEach(each -> each.storedJobs().abandonAll(now()));
            LeaderScheduler.this.flush();
        }

        @Override
        public void flush() {
            mSchedulers.values().forEach(each -> each.tick(now()));
            LeaderScheduler.this.flush();
            tickWhileBusy();
        }
    }

    /** Tells outcomes to those who wait for them. */
    private final class Outcomes implements SchedulerListener {

        @Override
        public void jobEnded(JobId job, WorkOutcome outcome) {
            PendingJob pendingJob = mPendingJobs.remove(job);
            mLog.jobEnded(job, outcome, pendingJob == null || pendingJob.late(now()));
            if (pendingJob != null) {
                pendingJob.homes().values().forEach(home -> home.accept(Either.right(outcome)));
            }
        }

        @Override
        public void storedJobChanged(StoredJob job, long change) {
            mCoordinator.changed(job, change);
        }

        @Override
        public void taskPlaced(TaskId task, int attempt, ServerId server, long expectedMillis) {
            PendingJob pendingJob = mPendingJobs.get(task.job());
            if (pendingJob != null && pendingJob.begin()) {
                long waitedNanos = now() - pendingJob.arrivedNanos();
                mLog.jobBegan(pendingJob.priority(), TimeUnit.NANOSECONDS.toMillis(waitedNanos));
            }
            mLog.taskPlaced(task, attempt, server, expectedMillis, pendingJob != null);
        }

        @Override
        public void runEnded(
                TaskId task, int attempt, ServerId server, RunEnd end, long took, long estimate) {
            boolean awaited = mPendingJobs.containsKey(task.job());
            mLog.runEnded(task, attempt, server, end, took, estimate, awaited);
        }

        @Override
        public void serverClaimChanged(ServerId server, boolean held, long token) {
            mLog.serverHeld(server, held, token);
            if (!held) {
                for (ServerEntry entry : mEntries) {
                    if (entry.id().equals(server)) {
                        mListener.fenced(entry);
                    }
                }
            }
        }
    }
}
