package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.StartAnswer;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Schedules the jobs of one service on the backend servers that this instance controls.
 *
 * <p>Decides which jobs to refuse, which waiting task runs on which server and when a run is
 * stopped. Status of jobs and servers is passed in by method calls, and decisions are reported to a
 * {@link SchedulerListener}. The resulting commands to backend servers are returned by {@link
 * #takeCommands}; the caller sends them.
 *
 * <p>Thread-safe: each scheduler is one shard with its own lock.
 */
public final class ServiceScheduler {

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Maximum pause between ticks, in milliseconds. It spans several ticks; after a longer pause
     * this process may have been paused.
     */
    public static final long MAX_TICK_PAUSE_MILLIS = 350;

    /** Time of the last tick while there has been none. */
    private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

    private final LeaseTiming mTiming;
    private final SchedulerTuning mTuning;
    private final SchedulerListener mListener;
    private final LoadShedder mLoadShedder;
    private final StallDetector mStallDetector;
    private final TaskPlacer mPlacer;
    private final ServerSet mServers;
    private long mLastTickNanos = NEVER_NANOS;
    private final DuplicateRunGuard mDuplicateRunGuard;
    private final JobRegistry mJobs = new JobRegistry();
    private final StoredJobScheduling mStoredJobs;
    private final InheritedJobScheduling mInheritedJobs;
    private final EvacuationScheduling mEvacuation;
    private final ActionPermissions mPermissions;

    private ServiceScheduler(
            LeaseTiming timing,
            FencingTokenSource tokens,
            SchedulerTuning tuning,
            ActionPermissions permissions,
            SchedulerListener listener) {
        mPermissions = permissions;
        mTiming = timing;
        mTuning = tuning;
        mListener = listener;
        mDuplicateRunGuard = new DuplicateRunGuard(timing);
        mLoadShedder = new LoadShedder(new AdmissionControl(tuning));
        mStallDetector = new StallDetector(tuning);
        mPlacer = new TaskPlacer(tuning, listener);
        mServers =
                new ServerSet(
                        timing,
                        tokens,
                        new RunEventHandler(mJobs, listener, this::endAndNotify),
                        permissions,
                        tuning.minHealthyOneIn());
        mStoredJobs =
                new StoredJobScheduling(
                        this, mLoadShedder, tuning, mJobs, mServers, mDuplicateRunGuard, listener);
        mInheritedJobs = new InheritedJobScheduling(this, mJobs, mServers, mDuplicateRunGuard);
        mEvacuation = new EvacuationScheduling(this, mJobs, mServers);
    }

    /**
     * Creates a scheduler without backend servers.
     *
     * @param timing the durations of leases and polls, not null
     * @param tokens the source of fencing tokens, not null
     * @param tuning the tuning values, not null
     * @param permissions decides what may be done at a time, not null
     * @param listener the listener that is notified of decisions, not null
     * @return the scheduler, never null
     */
    public static ServiceScheduler of(
            LeaseTiming timing,
            FencingTokenSource tokens,
            SchedulerTuning tuning,
            ActionPermissions permissions,
            SchedulerListener listener) {
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(tokens, "tokens");
        Objects.requireNonNull(tuning, "tuning");
        Objects.requireNonNull(permissions, "permissions");
        Objects.requireNonNull(listener, "listener");
        return new ServiceScheduler(timing, tokens, tuning, permissions, listener);
    }

    /**
     * Updates the set of backend servers of the service.
     *
     * @param entries all backend servers of the service, not null; a server that is not listed gets
     *     no new task and is removed once it has no runs
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void updateServers(Collection<ServerEntry> entries, long nowNanos) {
        if (mServers.updateServers(entries)) {
            mDuplicateRunGuard.onServerRemoved(nowNanos);
        }
    }

    /**
     * Updates the claim mode of each backend server.
     *
     * @param claims returns the claim mode of a server, not null
     */
    public synchronized void updateClaims(Function<ServerEntry, ClaimMode> claims) {
        mServers.updateClaims(claims);
    }

    /**
     * Adds a job, or joins the job of the same id. The outcome is reported to the listener,
     * possibly before this method returns. A job for which capacity is insufficient waits until it
     * is placed or {@link #refuseUnattainable} refuses it.
     *
     * @param spec the job, not null
     * @param progress what an earlier leader has done of the job, not null
     * @param arrivedNanos the monotonic time at which its caller sent it
     * @param deadlineNanos the monotonic time at which its caller stops waiting
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void submit(
            WorkSpec spec,
            WorkProgress progress,
            long arrivedNanos,
            long deadlineNanos,
            long nowNanos) {
        Objects.requireNonNull(spec, "spec");
        if (mJobs.wasCompleted(spec.id())) {
            mListener.jobEnded(spec.id(), WorkOutcome.of(WorkOutcome.Kind.COMPLETE, "remembered"));
            return;
        }
        ScheduledJob existing = mJobs.get(spec.id());
        if (existing != null && !existing.isEnded()) {
            existing.mDeadlineNanos = Math.max(existing.mDeadlineNanos, deadlineNanos);
            if (existing.updateInherited(progress, nowNanos)) {
                mServers.all().forEach(BackendServer::requestPoll);
            }
            return;
        }
        if (existing != null) {
            mListener.jobEnded(
                    spec.id(), WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "being stopped"));
            return;
        }
        ScheduledJob job =
                new ScheduledJob(
                        spec,
                        progress,
                        arrivedNanos,
                        deadlineNanos,
                        nowNanos,
                        mTuning.responseDelayMillis());
        mDuplicateRunGuard.onJobAdded(job, nowNanos);
        mJobs.add(job);
        if (job.isInherited()) {
            mServers.all().forEach(BackendServer::requestPoll);
        }
        mServers.adoptOrphans(nowNanos);
        placeTasks(nowNanos);
    }

    /**
     * Returns the jobs of which no task has been started. Ended and stored jobs are left out.
     *
     * @return the jobs, never null
     */
    public synchronized List<WorkSpec> unstartedJobs() {
        List<WorkSpec> unstarted = new ArrayList<>();
        for (ScheduledJob job : mJobs.all()) {
            if (job.isRefusable() && !job.isEnded()) {
                unstarted.add(job.mSpec);
            }
        }
        return unstarted;
    }

    /**
     * Removes a job of which no task has been started, because it runs elsewhere.
     *
     * @param id the job's id, not null
     * @return true if the job was known and unstarted
     */
    public synchronized boolean removeUnstarted(JobId id) {
        ScheduledJob job = mJobs.get(id);
        if (job == null || job.isStarted() || job.isEnded()) {
            return false;
        }
        mJobs.remove(job);
        return true;
    }

    /**
     * Refuses the unstarted jobs that are not expected to complete in time.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void refuseUnattainable(long nowNanos) {
        List<ScheduledJob> queue = placeableJobs(nowNanos);
        if (queue.isEmpty()) {
            return;
        }
        CapacityForecast forecast = forecast(nowNanos);
        for (ScheduledJob job : mLoadShedder.unattainableJobs(queue, forecast, nowNanos)) {
            refuse(job, forecast, nowNanos);
        }
    }

    /**
     * Refuses a job if it is unstarted and not expected to complete in time.
     *
     * @param id the job's id, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void refuseIfUnattainable(JobId id, long nowNanos) {
        ScheduledJob job = mJobs.get(id);
        if (job == null || job.isStarted() || job.isEnded()) {
            return;
        }
        CapacityForecast forecast = forecast(nowNanos);
        if (mLoadShedder.isUnattainable(job, placeableJobs(nowNanos), forecast, nowNanos)) {
            refuse(job, forecast, nowNanos);
        }
    }

    /**
     * Returns the operations on stored jobs.
     *
     * @return the same object each time, never null
     */
    public StoredJobScheduling storedJobs() {
        return mStoredJobs;
    }

    /**
     * Returns the operations that decide when tasks of inherited jobs may be placed.
     *
     * @return the same object each time, never null
     */
    public InheritedJobScheduling inheritedJobs() {
        return mInheritedJobs;
    }

    /**
     * Returns the operations for the evacuation of data centres.
     *
     * @return the same object each time, never null
     */
    public EvacuationScheduling evacuation() {
        return mEvacuation;
    }

    /**
     * Returns the phase of a job.
     *
     * @param id the job's id, not null
     * @return the phase, never null
     */
    public synchronized JobPhase phase(JobId id) {
        return JobPhase.of(mJobs.get(id));
    }

    /**
     * Returns a summary of the current state, for metrics and reports to other instances.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the state, never null
     */
    public synchronized SchedulerState state(long nowNanos) {
        return SchedulerState.of(mJobs.all(), mServers, nowNanos);
    }

    /**
     * Cancels a job whose caller has disconnected. No outcome is reported.
     *
     * @param id the job's id, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void withdraw(JobId id, long nowNanos) {
        ScheduledJob job = mJobs.get(id);
        if (job != null && !job.isEnded()) {
            endAndStopRuns(job, StoredJob.State.CANCELLED, nowNanos);
            placeTasks(nowNanos);
        }
    }

    /**
     * Stops a job so that another leader can continue it. No outcome is reported, and nothing is
     * placed before the next event, since other jobs of the same home may have to follow.
     *
     * @param id the job's id, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the progress of the job with the servers on which its runs are being stopped, never
     *     null
     */
    public synchronized WorkProgress handOver(JobId id, long nowNanos) {
        ScheduledJob job = mJobs.get(id);
        if (job == null || job.isEnded()) {
            return WorkProgress.NONE;
        }
        WorkProgress progress = job.progress();
        endAndStopRuns(job, StoredJob.State.CANCELLED, nowNanos);
        return progress;
    }

    /**
     * Updates the state of a run from the answer to a start command.
     *
     * @param command the command, not null
     * @param answer the answer, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void onStartAnswer(
            ServerCommand.Start command, StartAnswer answer, long nowNanos) {
        BackendServer server = mServers.get(command.target().server());
        if (server != null) {
            server.onStartAnswer(command, answer, nowNanos);
            if (answer.result() != StartResult.STARTED) {
                tickAndPlace(server, nowNanos);
            }
        }
    }

    /**
     * Updates the state of a run from the result of a stop command.
     *
     * @param command the command, not null
     * @param result the result of the command, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void onStopResult(
            ServerCommand.Stop command, StopResult result, long nowNanos) {
        BackendServer server = mServers.get(command.target().server());
        if (server != null) {
            server.onStopResult(command, result, nowNanos);
            tickAndPlace(server, nowNanos);
        }
    }

    /**
     * Updates the state of a server and its runs from the result of a poll.
     *
     * @param command the command, not null
     * @param result the result of the command, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void onPollResult(
            ServerCommand.Poll command, PollResult result, long nowNanos) {
        BackendServer server = mServers.get(command.target().server());
        if (server != null) {
            boolean wasHeld = server.isHeld();
            server.onPollResult(command, result, nowNanos);
            notifyClaimChange(server, wasHeld);
            tickAndPlace(server, nowNanos);
        }
    }

    /**
     * Performs all actions that have become due: claims and lease renewals, stops of stalled runs,
     * expiry of jobs and placement.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void tick(long nowNanos) {
        mLastTickNanos = nowNanos;
        if (mDuplicateRunGuard.recordStepDowns(mJobs.all(), nowNanos)) {
            mServers.all().forEach(BackendServer::requestPoll);
        }
        for (BackendServer server : mServers.all()) {
            boolean wasHeld = server.isHeld();
            server.tick(nowNanos);
            notifyClaimChange(server, wasHeld);
            mStallDetector.stopStalled(server, nowNanos);
        }
        mJobs.removeOldCompletions(nowNanos);
        mDuplicateRunGuard.removeSettledJobs(mServers, nowNanos);
        expireJobs(nowNanos);
        placeTasks(nowNanos);
    }

    /** Suspends placement until the next tick, because another leader may have taken over. */
    public synchronized void suspendPlacement() {
        mLastTickNanos = NEVER_NANOS;
    }

    /**
     * Removes and returns the commands that are to be sent now.
     *
     * @return the commands, never null
     */
    public synchronized List<ServerCommand> takeCommands() {
        return mServers.takeCommands();
    }

    /**
     * Estimates how long a job that arrived now would wait for capacity.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the time in milliseconds; very long if no backend server is held
     */
    public synchronized double estimatedWaitMillis(long nowNanos) {
        return LoadShedder.waitMillis(placeableJobs(nowNanos), forecast(nowNanos));
    }

    private void tickAndPlace(BackendServer server, long nowNanos) {
        boolean wasHeld = server.isHeld();
        server.tick(nowNanos);
        notifyClaimChange(server, wasHeld);
        placeTasks(nowNanos);
    }

    /**
     * Removes all jobs and servers without stopping any run, because another instance becomes the
     * leader.
     *
     * @return the progress of each open job that is not stored, by its id, so that done tasks are
     *     not run again; never null
     */
    public synchronized Map<JobId, WorkProgress> stepDown() {
        Map<JobId, WorkProgress> progress = new HashMap<>();
        for (ScheduledJob job : mJobs.all()) {
            if (!job.isEnded() && !job.mSpec.isStored()) {
                progress.put(job.mSpec.id(), job.progress());
            }
        }
        mJobs.clear();
        mServers.clear();
        return progress;
    }

    private void notifyClaimChange(BackendServer server, boolean wasHeld) {
        boolean isHeld = server.isHeld();
        if (wasHeld != isHeld) {
            mListener.serverClaimChanged(server.entry().id(), isHeld, server.token());
        }
    }

    /**
     * Returns the open jobs with waiting tasks, without those whose inherited runs may still be
     * active, and without stored jobs that another instance may coordinate.
     */
    List<ScheduledJob> placeableJobs(long nowNanos) {
        boolean mayRunStoredJobs = mPermissions.mayRunStoredJobs(nowNanos);
        List<ScheduledJob> queue = new ArrayList<>();
        for (ScheduledJob job : mJobs.all()) {
            if (!job.isEnded()
                    && job.waitingTasks() > 0
                    && (mayRunStoredJobs || !job.mSpec.isStored())
                    && !mDuplicateRunGuard.mayStillRun(job, mServers, nowNanos)) {
                release(job, nowNanos);
                queue.add(job);
            }
        }
        return queue;
    }

    private void release(ScheduledJob job, long nowNanos) {
        if (job.markReleased()) {
            mListener.inheritedJobReleased(
                    job.mSpec.id(),
                    mDuplicateRunGuard.evidence(job, nowNanos),
                    (nowNanos - job.mAcceptedNanos) / NANOS_PER_MILLI);
        }
    }

    /**
     * Places waiting tasks on servers. After a process pause nothing is placed before the next
     * tick, which first detects whether another leader has taken over, and nothing while the list
     * of servers has to be confirmed.
     */
    void placeTasks(long nowNanos) {
        if (nowNanos - mLastTickNanos > MAX_TICK_PAUSE_MILLIS * NANOS_PER_MILLI) {
            return;
        }
        List<ScheduledJob> queue = placeableJobs(nowNanos);
        if (queue.isEmpty() || !mPermissions.mayPlaceTasks(nowNanos)) {
            return;
        }
        mServers.adoptOrphans(nowNanos);
        mPlacer.place(queue, mServers.usable(nowNanos), nowNanos);
    }

    private void expireJobs(long nowNanos) {
        for (ScheduledJob job : mJobs.snapshot()) {
            boolean pastUsefulTime = job.waitingTasks() > 0 && nowNanos >= job.mUsefulUntilNanos;
            if (!job.isEnded() && (pastUsefulTime || nowNanos >= job.mDeadlineNanos)) {
                if (job.isStarted()) {
                    endAndNotify(
                            job,
                            WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "out of time"),
                            nowNanos);
                } else {
                    refuse(job, nowNanos);
                }
            }
        }
    }

    private void refuse(ScheduledJob job, CapacityForecast forecast, long nowNanos) {
        endAndNotify(
                job,
                WorkOutcome.refused("no room in time", retryMillis(forecast, nowNanos)),
                nowNanos);
    }

    CapacityForecast forecast(long nowNanos) {
        return new CapacityForecast(
                mServers.usable(nowNanos),
                mServers.becomingAvailable(nowNanos),
                mTiming.adoptMillis(),
                nowNanos);
    }

    void refuse(ScheduledJob job, long nowNanos) {
        refuse(job, forecast(nowNanos), nowNanos);
    }

    long retryMillis(CapacityForecast forecast, long nowNanos) {
        double waitMillis = LoadShedder.waitMillis(placeableJobs(nowNanos), forecast);
        return Math.round(Math.min(waitMillis, mTuning.maxRetryMillis()));
    }

    void endAndNotify(ScheduledJob job, WorkOutcome outcome, long nowNanos) {
        boolean complete = outcome.kind() == WorkOutcome.Kind.COMPLETE;
        StoredJob.State state = complete ? StoredJob.State.COMPLETE : StoredJob.State.FAILED;
        endAndStopRuns(job, state, nowNanos);
        if (job.mSpec.isStored()) {
            mListener.storedJobChanged(job.storedJob(), job.changeCount());
            return;
        }
        if (complete) {
            mJobs.rememberCompletion(job, nowNanos);
        }
        mListener.jobEnded(job.mSpec.id(), outcome);
    }

    void endAndStopRuns(ScheduledJob job, StoredJob.State state, long nowNanos) {
        mDuplicateRunGuard.onJobEnding(job, mServers, nowNanos);
        job.end(state);
        for (BackendServer server : mServers.all()) {
            for (ServerRun run : List.copyOf(server.runs())) {
                if (run.mTask.job().equals(job.mSpec.id())) {
                    server.stop(run.mTask, nowNanos);
                }
            }
        }
        mJobs.removeIfIdle(job);
    }
}
