package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
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
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Schedules the jobs of one service on the backend servers that this instance gives orders to.
 *
 * <p>Input comes as calls, orders are taken with {@link #takeCommands}; sending them is left to the
 * caller. Safe for use by several threads: one scheduler is one shard under its own lock.
 */
public final class ServiceScheduler {

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Pause between rounds of the clock, in milliseconds, after which this process may have stood
     * still; several rounds.
     */
    public static final long MAX_TICK_PAUSE_MILLIS = 350;

    /** Before any round of the clock. */
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

    private ServiceScheduler(
            LeaseTiming timing,
            FencingTokenSource tokens,
            SchedulerTuning tuning,
            SchedulerListener listener) {
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
                        tuning.minHealthyOneIn());
        mStoredJobs = new StoredJobScheduling(this, mJobs, mServers, listener);
    }

    /**
     * Creates a scheduler without backend servers.
     *
     * @param timing times of leases, not null
     * @param tokens where fencing tokens come from, not null
     * @param tuning how to weigh, not null
     * @param listener who hears the decisions, not null
     * @return the scheduler, never null
     */
    public static ServiceScheduler of(
            LeaseTiming timing,
            FencingTokenSource tokens,
            SchedulerTuning tuning,
            SchedulerListener listener) {
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(tokens, "tokens");
        Objects.requireNonNull(tuning, "tuning");
        Objects.requireNonNull(listener, "listener");
        return new ServiceScheduler(timing, tokens, tuning, listener);
    }

    /**
     * Takes over the directory.
     *
     * @param entries every backend server of the service that is to be known here, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void updateServers(Collection<ServerEntry> entries, long nowNanos) {
        mServers.updateServers(entries);
    }

    /**
     * Sets how strong the claim to each backend server is.
     *
     * @param claims gives the claim to a server, not null
     */
    public synchronized void updateClaims(Function<ServerEntry, ClaimMode> claims) {
        mServers.updateClaims(claims);
    }

    /**
     * Takes a job in, or joins the one of the same id. The outcome is told to the listener, maybe
     * before this returns. A job that finds no room waits until {@link #refuseUnattainable}.
     *
     * @param spec the job, not null
     * @param progress what an earlier leader did of it, not null
     * @param arrivedNanos when its caller sent it, by the monotonic time
     * @param deadlineNanos when its caller stops waiting, by the monotonic time
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
        mJobs.add(job);
        if (job.isInherited()) {
            mServers.all().forEach(BackendServer::requestPoll);
        }
        mServers.all().forEach(server -> server.adoptOrphans(nowNanos));
        placeTasks(nowNanos);
    }

    /**
     * Returns the jobs of which no task has been started.
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
     * Forgets a job of which no task has been started, because it runs elsewhere.
     *
     * @param id which, not null
     * @return true if it was known and had not begun
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
     * Refuses the jobs that have not begun and will not be answered in time.
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
     * Refuses a job if it has not begun and will not be answered in time.
     *
     * @param id which, not null
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
     * Returns what concerns stored jobs.
     *
     * @return the same object each time, never null
     */
    public StoredJobScheduling storedJobs() {
        return mStoredJobs;
    }

    /**
     * Tells how far a job is.
     *
     * @param id which, not null
     * @return the phase, never null
     */
    public synchronized JobPhase phase(JobId id) {
        return JobPhase.of(mJobs.get(id));
    }

    /**
     * Tells what the scheduler holds.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the state, never null
     */
    public synchronized SchedulerState state(long nowNanos) {
        return SchedulerState.of(mJobs.all(), mServers, nowNanos);
    }

    /**
     * Stops a job whose caller has left; no outcome is told.
     *
     * @param id which, not null
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
     * Takes over the answer to a start.
     *
     * @param command the order, not null
     * @param result what came of it, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void onStartResult(
            ServerCommand.Start command, StartResult result, long nowNanos) {
        BackendServer server = mServers.get(command.target().server());
        if (server != null) {
            server.onStartResult(command, result, nowNanos);
            if (result != StartResult.STARTED) {
                tickAndPlace(server, nowNanos);
            }
        }
    }

    /**
     * Takes over the answer to a stop.
     *
     * @param command the order, not null
     * @param result what came of it, not null
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
     * Takes over the answer to a look.
     *
     * @param command the order, not null
     * @param result what came of it, not null
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
     * Does what is due by the clock.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void tick(long nowNanos) {
        mLastTickNanos = nowNanos;
        for (BackendServer server : mServers.all()) {
            boolean wasHeld = server.isHeld();
            server.tick(nowNanos);
            notifyClaimChange(server, wasHeld);
            mStallDetector.stopStalled(server, nowNanos);
        }
        mJobs.forgetOldCompletions(nowNanos);
        expireJobs(nowNanos);
        placeTasks(nowNanos);
    }

    /** Places nothing more before the next round of the clock: another leader may have come. */
    public synchronized void suspendPlacement() {
        mLastTickNanos = NEVER_NANOS;
    }

    /**
     * Takes note that instances on the other side of a cut are back. Jobs that come from there may
     * run on servers that the directory here had lost, so having looked at all that are known
     * proves nothing for jobs that come until then.
     *
     * @param untilNanos the monotonic time until which jobs may come from there
     */
    public synchronized void assumeIncompleteServerList(long untilNanos) {
        mDuplicateRunGuard.assumeIncompleteServerList(untilNanos);
    }

    /**
     * Takes the orders that are to be sent now.
     *
     * @return the orders, never null
     */
    public synchronized List<ServerCommand> takeCommands() {
        return mServers.takeCommands();
    }

    /**
     * Estimates how long a job that came now would wait for room.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the time in milliseconds; very long if no backend server is held
     */
    public synchronized double estimatedWaitMillis(long nowNanos) {
        return LoadShedder.waitMillis(placeableJobs(nowNanos), forecast(nowNanos));
    }

    private void tickAndPlace(BackendServer server, long nowNanos) {
        server.tick(nowNanos);
        placeTasks(nowNanos);
    }

    /**
     * Forgets every job without stopping it, because another instance takes over.
     *
     * @return what is done of each open job, so that it is not run again; never null
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

    /** Jobs with tasks that may be placed. */
    private List<ScheduledJob> placeableJobs(long nowNanos) {
        List<ScheduledJob> queue = new ArrayList<>();
        for (ScheduledJob job : mJobs.all()) {
            if (!job.isEnded()
                    && job.waitingTasks() > 0
                    && !mDuplicateRunGuard.mayStillRun(job, mServers, nowNanos)) {
                queue.add(job);
            }
        }
        return queue;
    }

    /**
     * Places what can be placed. After a stall nothing is placed before the next round of the
     * clock, which first finds out whether another leader has taken over.
     */
    void placeTasks(long nowNanos) {
        if (nowNanos - mLastTickNanos > MAX_TICK_PAUSE_MILLIS * NANOS_PER_MILLI) {
            return;
        }
        List<ScheduledJob> queue = placeableJobs(nowNanos);
        if (queue.isEmpty()) {
            return;
        }
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
                    refuse(job, forecast(nowNanos), nowNanos);
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

    private CapacityForecast forecast(long nowNanos) {
        return new CapacityForecast(
                mServers.usable(nowNanos),
                mServers.becomingAvailable(nowNanos),
                mTiming.adoptMillis(),
                nowNanos);
    }

    /**
     * Decides whether a job that is not in the book would be refused; as {@link
     * StoredJobScheduling}.
     */
    Option<Long> retryMillisIfRefused(WorkSpec spec, long arrivedNanos, long nowNanos) {
        ScheduledJob job =
                new ScheduledJob(
                        spec,
                        WorkProgress.NONE,
                        arrivedNanos,
                        ScheduledJob.NEVER_NANOS,
                        nowNanos,
                        mTuning.responseDelayMillis());
        CapacityForecast forecast = forecast(nowNanos);
        return mLoadShedder.isUnattainable(job, placeableJobs(nowNanos), forecast, nowNanos)
                ? Option.some(retryMillis(forecast, nowNanos))
                : Option.none();
    }

    private long retryMillis(CapacityForecast forecast, long nowNanos) {
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
