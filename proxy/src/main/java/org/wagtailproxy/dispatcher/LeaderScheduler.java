package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.SuspensionDetector;
import org.wagtailproxy.scheduling.ActionPermissions;
import org.wagtailproxy.scheduling.ClaimMode;
import org.wagtailproxy.scheduling.FencingTokenSource;
import org.wagtailproxy.scheduling.JobPhase;
import org.wagtailproxy.scheduling.SchedulerState;
import org.wagtailproxy.scheduling.ServiceScheduler;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Schedules the jobs of the group on the backend servers that this instance controls as its leader.
 * Confined to the event loop.
 *
 * <p>Each service has its own {@link ServiceScheduler}. This class feeds them with jobs, backend
 * servers and claim modes, sends their commands and returns outcomes to the home instances, those
 * that answer the callers.
 */
final class LeaderScheduler {

    /** Pause between ticks while jobs are open. */
    private static final long BUSY_TICK_MILLIS = 20;

    private static final long MAX_TICK_PAUSE_NANOS =
            TimeUnit.MILLISECONDS.toNanos(ServiceScheduler.MAX_TICK_PAUSE_MILLIS);

    /** Time after which homes are checked again before tasks are placed; a tick that is late. */
    private static final long HOMES_CHECKED_VALID_NANOS =
            TimeUnit.MILLISECONDS.toNanos(BUSY_TICK_MILLIS + 5);

    /**
     * Time after a network partition has healed, or the pool has changed, in which jobs arrive from
     * the other side and backend servers are listed again.
     */
    private static final long PARTITION_RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final CommandSender mCommandSender;
    private final DecisionLog mLog;
    private final JobForwarder mForwarder;
    private final LeadershipDoubtListener mListener;
    private final HomeLiveness mHomes;
    private final StoredJobCoordinator mCoordinator;
    private final ServiceSchedulers mSchedulers;
    private final PlacementMonitor mPlacement;
    private final PendingJobs mPendingJobs;
    private boolean mTickScheduled;
    private long mServerListReadNanos = Long.MIN_VALUE;
    private long mServersTrackedSinceNanos = Long.MAX_VALUE / 2;
    private long mLastTickNanos;
    private long mHomesCheckedNanos = Long.MIN_VALUE / 2;

    /** Whether forwarders may have been silent while this machine was suspended. */
    private boolean mForwardersDoubted;

    private final SuspensionDetector mSuspensionDetector;

    LeaderScheduler(
            DispatcherSettings settings,
            DispatcherContext context,
            FencingTokenSource tokens,
            DecisionLog log,
            JobForwarder forwarder,
            LeadershipDoubtListener listener,
            HomeLiveness homes,
            Function<StoredJobCoordinator.Schedulers, StoredJobCoordinator> coordinator) {
        mSettings = settings;
        mLoop = context.loop();
        mCommandSender =
                new CommandSender(
                        context.commandTransport(), log, this::nowForPlacement, this::sendCommands);
        mPendingJobs = new PendingJobs(settings.limits().jobMemoryBytes());
        mLog = log;
        mForwarder = forwarder;
        mListener = listener;
        mHomes = homes;
        mSuspensionDetector = new SuspensionDetector(mLoop.nowNanos(), mLoop.wallClockMillis());
        mCoordinator = coordinator.apply(new StoredJobSchedulers());
        mPlacement = new PlacementMonitor(settings.tuning().drainMillis(), log);
        mSchedulers =
                new ServiceSchedulers(
                        settings,
                        tokens,
                        new SchedulerEvents(
                                log, mPendingJobs, mCoordinator, this::now, this::onServerLost),
                        new Permissions(),
                        mCoordinator::isCoordinating,
                        this::now);
    }

    StoredJobCoordinator coordinator() {
        return mCoordinator;
    }

    /**
     * Starts or abandons the coordination of the stored jobs. A coordinator that has lost the
     * majority stays one until it learns that another instance has taken over, but its authority
     * lapses.
     *
     * @param leadsMajority true if this instance leads a majority
     * @param isPooled false if the fleet is divided, so that no instance coordinates stored jobs
     * @param storedJobsPossible false only if it is known that there are no stored jobs
     */
    void updateCoordination(boolean leadsMajority, boolean isPooled, boolean storedJobsPossible) {
        if (!isPooled) {
            mCoordinator.abandon("fleet divided");
        } else if (leadsMajority) {
            mCoordinator.startTerm();
        }
        mCoordinator.tick(leadsMajority);
        mSchedulers.setUnreadJobsPossible(storedJobsPossible);
    }

    /** Updates the backend servers of the pool. */
    void updateServers(Collection<ServerEntry> entries) {
        mSchedulers.updateServers(entries);
        sendCommands();
    }

    /** Updates the data centres whose backend servers get no new tasks. */
    void updateEvacuations(Evacuations evacuations) {
        mForwarder.updateEvacuations(evacuations);
        mSchedulers.updateEvacuations(evacuations);
        tickSchedulers();
    }

    /** Updates the data centres whose backend servers this instance may use. */
    void updateScope(DataCentreScope scope) {
        mSchedulers.updateScope(scope);
    }

    /**
     * Updates the claim modes for the backend servers; steps down if this instance does not lead.
     */
    void updateClaims(Function<ServerEntry, ClaimMode> claimModes, boolean isLeader) {
        if (!isLeader) {
            stepDown();
        }
        mSchedulers.updateClaimModes(claimModes);
        tickSchedulers();
    }

    /**
     * Schedules a job, or adds the caller to the job with the same id.
     *
     * @param home the process that answers the caller
     * @param mayForward true if another data centre may run the job; false if its leader has
     *     forwarded it here
     * @param answer receives the outcome, or the progress made so far if the job has to be
     *     submitted to another leader
     */
    void submit(
            WorkSpec spec,
            WorkProgress progress,
            long arrivedNanos,
            long deadlineNanos,
            HomeProcess home,
            boolean mayForward,
            Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        long nowNanos = nowForPlacement();
        if (spec.isStored()) {
            mCoordinator.submit(spec, arrivedNanos, answer);
            return;
        }
        if (mForwarder.join(spec.id(), home, progress, answer)) {
            return;
        }
        Option<WorkOutcome> refusal = mPendingJobs.refusal(spec, progress);
        if (refusal.isDefined()) {
            mLog.jobEnded(spec.id(), refusal.get(), true);
            answer.accept(Either.right(refusal.get()));
            return;
        }
        PendingJob pendingJob = mPendingJobs.getOrAdd(spec);
        pendingJob.addHome(home, !mayForward, answer);
        pendingJob.updateSubmission(arrivedNanos, deadlineNanos, mayForward);
        ServiceScheduler scheduler = mSchedulers.get(spec.service());
        scheduler.submit(spec, progress, arrivedNanos, deadlineNanos, nowNanos);
        if (progress.runsOn().isEmpty()) {
            mListener.onJobOfLostLeader();
        }
        if (scheduler.phase(spec.id()) == JobPhase.WAITING) {
            forwardIfPossible(scheduler, spec, nowNanos);
            scheduler.refuseIfUnattainable(spec.id(), nowNanos);
        }
        sendCommands();
        tickWhileBusy();
    }

    /**
     * Checks whether the machine may have been suspended since the last event, and reacts if so.
     */
    void detectSuspension() {
        now();
    }

    /** Checks the homes if they have not been checked lately, see {@link #nowForPlacement}. */
    void checkHomes() {
        nowForPlacement();
    }

    /**
     * Returns the monotonic time. If the machine may have been suspended, nothing is placed until
     * the peers have answered, since another instance may lead by now.
     */
    private long now() {
        long nowNanos = mLoop.nowNanos();
        if (mSuspensionDetector.mayHaveBeenSuspended(nowNanos, mLoop.wallClockMillis())) {
            onSuspension(nowNanos);
        }
        return nowNanos;
    }

    /**
     * Returns the monotonic time for an event that may place tasks. Hands the jobs of lost homes
     * over first if they have not been checked lately, as a busy process ticks late.
     */
    private long nowForPlacement() {
        long nowNanos = now();
        boolean isDue = nowNanos - mHomesCheckedNanos > HOMES_CHECKED_VALID_NANOS;
        if (isDue && !mListener.hasUnconfirmedPeers()) {
            handOverJobsOfLostHomes();
        }
        return nowNanos;
    }

    private void onSuspension(long nowNanos) {
        mLastTickNanos = nowNanos - 2 * MAX_TICK_PAUSE_NANOS;
        mSchedulers.forEach(ServiceScheduler::suspendPlacement);
        mForwardersDoubted = true;
        mCoordinator.onSuspension();
        mListener.onPossibleSuspension();
    }

    /** Reacts to a suspension of this machine that its own clocks do not show. */
    void onSuspensionShown() {
        onSuspension(mLoop.nowNanos());
    }

    /** Ticks frequently, but only while there are jobs. */
    private void tickWhileBusy() {
        if (mTickScheduled || (mPendingJobs.isEmpty() && !mCoordinator.hasJobs())) {
            return;
        }
        mTickScheduled = true;
        mLoop.schedule(
                BUSY_TICK_MILLIS,
                () -> {
                    mTickScheduled = false;
                    // After a process pause, the dispatcher's own tick probes the peers before it
                    // ticks the schedulers.
                    if (now() - mLastTickNanos < MAX_TICK_PAUSE_NANOS) {
                        tick();
                    }
                    tickWhileBusy();
                });
    }

    /**
     * Forwards unstarted jobs to data centres with free capacity, and refuses those that are
     * unattainable.
     */
    private void forwardOrRefuse(ServiceScheduler scheduler, long nowNanos) {
        for (WorkSpec spec : scheduler.unstartedJobs()) {
            forwardIfPossible(scheduler, spec, nowNanos);
        }
        scheduler.refuseUnattainable(nowNanos);
    }

    /**
     * Forwards a job to a data centre with free capacity. Refuses it at once if all servers here
     * are evacuated and no other data centre can start it in time.
     */
    private void forwardIfPossible(ServiceScheduler scheduler, WorkSpec spec, long nowNanos) {
        PendingJob pendingJob = mPendingJobs.get(spec.id());
        if (pendingJob == null) {
            return;
        }
        boolean evacuated = scheduler.evacuation().isComplete();
        if (pendingJob.mayForward() && mForwarder.forward(spec, pendingJob, evacuated)) {
            scheduler.removeUnstarted(spec.id());
            mPendingJobs.remove(spec.id());
        } else if (evacuated && mForwarder.isUnattainableElsewhere(spec, pendingJob)) {
            scheduler.evacuation().refuseUnstarted(spec.id(), nowNanos);
        }
    }

    /**
     * Records that a network partition has healed: the list of backend servers may be incomplete
     * for a while, so jobs from the other side may run on servers that are not listed here.
     */
    void onPartitionHealed() {
        assumeIncompleteServerList();
    }

    /**
     * Records that the fleet has been divided into pools or merged: jobs of an earlier leader may
     * run on servers that are not listed here, which belong to another pool.
     */
    void onPoolChanged() {
        assumeIncompleteServerList();
    }

    private void assumeIncompleteServerList() {
        mSchedulers.assumeIncompleteServerList(now() + PARTITION_RECOVERY_NANOS);
    }

    /** Records that the backend servers are those of the directory at a time or later. */
    void recordServerListRead(long nanos) {
        mServerListReadNanos = Math.max(mServerListReadNanos, nanos);
        mPlacement.onConfirmed(nanos);
        if (mPlacement.isHeld()) {
            tickSchedulers();
        }
    }

    /** Returns what decides whether the list of backend servers is recent enough. */
    PlacementMonitor placement() {
        return mPlacement;
    }

    /** Records that servers may have been listed and removed again unnoticed until a time. */
    void recordServersTrackedSince(long nanos) {
        mServersTrackedSinceNanos = nanos;
    }

    /**
     * Withdraws a job for one home instance; the job is stopped if no other one waits for it. The
     * home is answered, as a withdrawal that was held up may end a job that it has submitted again.
     */
    void withdraw(JobId job, HomeProcess home) {
        PendingJob pendingJob = mPendingJobs.get(job);
        if (pendingJob == null) {
            mForwarder.withdraw(job, home);
            return;
        }
        Option.of(pendingJob.homes().remove(home))
                .filter(answer -> !home.equals(mSettings.home()))
                .forEach(
                        answer ->
                                answer.accept(
                                        Either.right(
                                                WorkOutcome.of(
                                                        WorkOutcome.Kind.ABANDONED, "withdrawn"))));
        if (pendingJob.homes().isEmpty()) {
            mPendingJobs.remove(job);
            mLog.jobWithdrawn(job, home.name());
            mSchedulers.get(pendingJob.service()).withdraw(job, nowForPlacement());
            sendCommands();
        }
    }

    /**
     * Cancels a job that is not stored, whichever home instances wait for it. They receive the
     * outcome "abandoned".
     *
     * @return false if the job is not known here
     */
    boolean cancel(JobId job) {
        PendingJob pendingJob = mPendingJobs.remove(job);
        if (pendingJob == null) {
            return mForwarder.cancel(job);
        }
        mSchedulers.get(pendingJob.service()).withdraw(job, nowForPlacement());
        sendCommands();
        WorkOutcome outcome = WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "cancelled");
        mLog.jobEnded(job, outcome, true);
        pendingJob.homes().values().forEach(home -> home.accept(Either.right(outcome)));
        return true;
    }

    /**
     * Hands over the jobs of homes that are not known to be alive or follow another leader, and
     * stops their runs. After a suspension the clock does not show for how long forwarders were
     * silent, so all their jobs are handed over.
     */
    void handOverJobsOfLostHomes() {
        boolean forwardersDoubted = mForwardersDoubted;
        mForwardersDoubted = false;
        boolean isLate = mLoop.nowNanos() - mHomesCheckedNanos > HOMES_CHECKED_VALID_NANOS;
        mHomesCheckedNanos = mLoop.nowNanos();
        handOverJobs(
                (job, home) ->
                        job.isForwarder(home)
                                ? forwardersDoubted || !mHomes.isForwarderAlive(home)
                                : !mHomes.isHomeAlive(home));
        if (isLate && !mPendingJobs.isEmpty()) {
            withdrawJobsOfDisconnectedCallers();
        }
    }

    /** Withdraws the jobs of the callers of this instance that have disconnected. */
    void withdrawJobsOfDisconnectedCallers() {
        mHomes.withdrawJobsOfDisconnectedCallers();
    }

    /** Hands over the jobs of a home that may have given them up, or only those it forwarded. */
    void handOverJobsOf(HomeProcess lost, boolean forwardedOnly) {
        handOverJobs((job, home) -> home.equals(lost) && (!forwardedOnly || job.isForwarder(home)));
    }

    private void handOverJobs(BiPredicate<PendingJob, HomeProcess> isLost) {
        for (Map.Entry<JobId, PendingJob> each : mPendingJobs.all()) {
            for (HomeProcess home : List.copyOf(each.getValue().homes().keySet())) {
                if (isLost.test(each.getValue(), home)) {
                    handOver(each.getKey(), each.getValue(), home);
                }
            }
        }
    }

    /**
     * Ticks the schedulers, which places tasks, unless this machine may have been suspended and
     * another instance may lead by now.
     */
    private void tickSchedulers() {
        long nowNanos = now();
        if (!mListener.hasUnconfirmedPeers()) {
            handOverJobsOfLostHomes();
            mSchedulers.forEach(scheduler -> scheduler.tick(nowNanos));
        }
        sendCommands();
    }

    private void handOver(JobId job, PendingJob pendingJob, HomeProcess home) {
        Consumer<Either<WorkProgress, WorkOutcome>> answer = pendingJob.homes().remove(home);
        if (!pendingJob.homes().isEmpty()) {
            // The job continues here for the others, so this home must not submit it elsewhere.
            answer.accept(Either.right(PendingJob.RUNS_FOR_ANOTHER_HOME));
            return;
        }
        mPendingJobs.remove(job);
        mLog.jobHandedOver(job);
        answer.accept(Either.left(mSchedulers.get(pendingJob.service()).handOver(job, now())));
        sendCommands();
    }

    void tick() {
        long nowNanos = now();
        mLastTickNanos = nowNanos;
        handOverJobsOfLostHomes();
        long noOtherLeaderNanos = mListener.noOtherLeaderNanos();
        for (ServiceScheduler scheduler : mSchedulers.all()) {
            scheduler.inheritedJobs().recordNoOtherLeader(noOtherLeaderNanos);
            scheduler
                    .inheritedJobs()
                    .recordServerListRead(mServerListReadNanos, mServersTrackedSinceNanos);
            scheduler.tick(nowNanos);
            forwardOrRefuse(scheduler, nowNanos);
        }
        sendCommands();
    }

    /** Returns the processor capacity that no task uses, in thousandths of a core. */
    long freeCpuMillis() {
        return state().stream().mapToLong(SchedulerState::freeCpuMillis).sum();
    }

    /** Returns the state of the scheduler of each service. */
    List<SchedulerState> state() {
        return mSchedulers.state();
    }

    /**
     * Returns the longest estimated wait over all services for a job that arrived now, in
     * milliseconds.
     */
    long maxEstimatedWaitMillis() {
        return mSchedulers.maxEstimatedWaitMillis();
    }

    private void stepDown() {
        mCoordinator.handOver();
        Map<JobId, WorkProgress> progressByJob = new HashMap<>();
        for (ServiceScheduler scheduler : mSchedulers.all()) {
            progressByJob.putAll(scheduler.stepDown());
        }
        mSchedulers.updateServersOfAll();
        for (Map.Entry<JobId, PendingJob> each : mPendingJobs.removeAll()) {
            mLog.jobHandedOver(each.getKey());
            WorkProgress progress = progressByJob.getOrDefault(each.getKey(), WorkProgress.NONE);
            each.getValue().handBack(progress);
        }
    }

    private void onServerLost(ServerId server) {
        mSchedulers.findServer(server).forEach(mListener::onFenced);
    }

    private void sendCommands() {
        for (ServiceScheduler scheduler : mSchedulers.all()) {
            for (ServerCommand command : scheduler.takeCommands()) {
                mCommandSender.send(scheduler, command);
            }
        }
    }

    /** Permits what this instance has confirmed recently. */
    private final class Permissions implements ActionPermissions {

        @Override
        public boolean mayRunStoredJobs(long nowNanos) {
            return mCoordinator.mayRunJobs(nowNanos);
        }

        @Override
        public boolean mayAcknowledgeStoredEnds(long nowNanos) {
            return mCoordinator.hasFormerCoordinatorEnded();
        }

        @Override
        public boolean mayPlaceTasks(long nowNanos) {
            return mPlacement.mayPlace(nowNanos);
        }
    }

    /** Gives the coordinator of the stored jobs access to the schedulers that run them. */
    private final class StoredJobSchedulers implements StoredJobCoordinator.Schedulers {

        @Override
        public long nowForPlacement() {
            return LeaderScheduler.this.nowForPlacement();
        }

        @Override
        public ServiceScheduler forService(ServiceName service) {
            return mSchedulers.get(service);
        }

        @Override
        public void onStoredJobsRead(long knownNanos) {
            mSchedulers.onStoredJobsRead(knownNanos);
        }

        @Override
        public void onJobsInherited() {
            mListener.onJobOfLostLeader();
        }

        @Override
        public boolean hasUnreadEnds() {
            return mSchedulers.hasUnreadEnds();
        }

        @Override
        public void onFormerCoordinatorEnded(long sinceNanos) {
            mSchedulers.recordFormerCoordinatorEnded(sinceNanos);
        }

        @Override
        public void abandonStoredJobs() {
            mSchedulers.abandonStoredJobs();
            LeaderScheduler.this.sendCommands();
        }

        @Override
        public void sendCommands() {
            tickSchedulers();
            tickWhileBusy();
        }
    }
}
