package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.List;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Adds, cancels and removes the stored jobs of a scheduler, and decides when the ends of their
 * tasks may be acknowledged. Stored jobs are saved in the store, so that they survive a change of
 * the coordinator.
 *
 * <p>A backend server lists the end (the final result) of a task until it is acknowledged. Ends of
 * stored jobs are acknowledged only after they have been saved, so that the next coordinator can
 * read those that were not. The number of its attempt shows that an end belongs to a stored job
 * ({@link StoredAttempts}), so a leader that has not read the stored jobs acknowledges none of
 * their ends, whatever it knows of them. All methods run under the scheduler's lock.
 */
public final class StoredJobScheduling {

    /** The end of a former coordinator that may still start tasks. */
    public static final long NOT_ENDED_NANOS = Long.MAX_VALUE / 2;

    private final ServiceScheduler mScheduler;
    private final LoadShedder mLoadShedder;
    private final SchedulerTuning mTuning;
    private final JobRegistry mJobs;
    private final ServerSet mServers;
    private final DuplicateRunGuard mDuplicateRunGuard;
    private final SchedulerListener mListener;

    StoredJobScheduling(
            ServiceScheduler scheduler,
            LoadShedder loadShedder,
            SchedulerTuning tuning,
            JobRegistry jobs,
            ServerSet servers,
            DuplicateRunGuard duplicateRunGuard,
            SchedulerListener listener) {
        mScheduler = scheduler;
        mLoadShedder = loadShedder;
        mTuning = tuning;
        mJobs = jobs;
        mServers = servers;
        mDuplicateRunGuard = duplicateRunGuard;
        mListener = listener;
    }

    /**
     * Returns the retry delay if a new stored job is to be refused. The same admission rules apply
     * as for a job whose caller waits for its end.
     *
     * @param spec the job, not null
     * @param arrivedNanos the monotonic time at which its caller sent it
     * @param nowNanos the monotonic time in nanoseconds
     * @return the time in milliseconds after which its caller should retry; none if the job is to
     *     be accepted
     */
    public Option<Long> retryDelayIfRefused(WorkSpec spec, long arrivedNanos, long nowNanos) {
        synchronized (mScheduler) {
            ScheduledJob job =
                    new ScheduledJob(
                            spec,
                            WorkProgress.NONE,
                            arrivedNanos,
                            ScheduledJob.NEVER_NANOS,
                            nowNanos,
                            mTuning.responseDelayMillis());
            CapacityForecast forecast = mScheduler.forecast(nowNanos);
            List<ScheduledJob> queue = mScheduler.placeableJobs(nowNanos);
            return mLoadShedder.isUnattainable(job, queue, forecast, nowNanos)
                    ? Option.some(mScheduler.retryMillis(forecast, nowNanos))
                    : Option.none();
        }
    }

    /**
     * Adds a stored job.
     *
     * @param job the job, open, not null
     * @param highestAttempt an upper bound of the number of attempts that earlier leaders have made
     *     at a task, 0 if there was no earlier leader
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void add(StoredJob job, int highestAttempt, long nowNanos) {
        synchronized (mScheduler) {
            ScheduledJob scheduledJob = ScheduledJob.ofStoredJob(job, highestAttempt, nowNanos);
            mJobs.add(scheduledJob);
            // Runs that were stopped by abandonAll may still be active.
            for (BackendServer server : mServers.all()) {
                for (ServerRun run : server.runs()) {
                    if (run.mTask.job().equals(job.spec().id())) {
                        scheduledJob.adopt(run.mTask, run.mAttempt, server.entry().id());
                    }
                }
            }
            if (scheduledJob.isInherited()) {
                mServers.all().forEach(BackendServer::requestPoll);
                mServers.all().forEach(server -> server.adoptOrphans(nowNanos));
            }
            if (scheduledJob.isComplete()) {
                mScheduler.endAndNotify(
                        scheduledJob, WorkOutcome.of(WorkOutcome.Kind.COMPLETE, "done"), nowNanos);
            }
            mScheduler.placeTasks(nowNanos);
        }
    }

    /**
     * Sets whether unknown jobs may be stored ones although the numbers of their attempts do not
     * show it, because a build that numbered all attempts alike has started them. If so, ends of
     * their tasks are not acknowledged, and stay listed at the servers, until all stored jobs have
     * been added.
     *
     * @param possible false if no job is known to be stored
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void setUnreadJobsPossible(boolean possible, long nowNanos) {
        synchronized (mScheduler) {
            if (mJobs.setUnreadJobsPossible(possible)) {
                mServers.all().forEach(server -> server.onStoredJobsRead(nowNanos));
            }
        }
    }

    /**
     * Records since when no former coordinator starts tasks of stored jobs. Tasks that it may have
     * started are placed only after the leases of their runs.
     *
     * @param sinceNanos the monotonic time in nanoseconds, {@link #NOT_ENDED_NANOS} if one may
     *     still start tasks
     */
    public void recordFormerCoordinatorEnded(long sinceNanos) {
        synchronized (mScheduler) {
            mDuplicateRunGuard.recordFormerCoordinatorEnded(sinceNanos);
        }
    }

    /**
     * Records that all stored jobs have been read and added that had been accepted at a time. What
     * a server has listed until then of an unknown job can be acknowledged or stopped.
     *
     * @param knownNanos the monotonic time at which the store was asked whether this instance alone
     *     accepts stored jobs, in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onAllRead(long knownNanos, long nowNanos) {
        synchronized (mScheduler) {
            mJobs.recordStoredJobsKnown(knownNanos);
            mServers.all().forEach(server -> server.onStoredJobsRead(nowNanos));
        }
    }

    /**
     * Checks whether servers list ends of jobs that may be stored ones and have not been read.
     *
     * @return true if such ends wait for {@link #onAllRead}
     */
    public boolean hasUnreadEnds() {
        synchronized (mScheduler) {
            return mServers.all().stream().anyMatch(server -> server.ends().hasUnread());
        }
    }

    /**
     * Records that changes of a stored job are saved.
     *
     * @param id the job's id, not null
     * @param changeNumber the number of the last saved change, as passed to the listener
     */
    public void onSaved(JobId id, long changeNumber) {
        synchronized (mScheduler) {
            ScheduledJob job = mJobs.get(id);
            if (job != null) {
                job.onSaved(changeNumber);
                mJobs.removeIfIdle(job);
            }
            mServers.all().forEach(server -> server.ends().onSaved(id, changeNumber));
        }
    }

    /**
     * Cancels a stored job and stops its runs.
     *
     * @param id the job's id, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void cancel(JobId id, long nowNanos) {
        synchronized (mScheduler) {
            ScheduledJob job = mJobs.get(id);
            if (job != null && !job.isEnded()) {
                mScheduler.endAndStopRuns(job, StoredJob.State.CANCELLED, nowNanos);
                mListener.storedJobChanged(job.storedJob(), job.changeCount());
                mScheduler.placeTasks(nowNanos);
            }
        }
    }

    /**
     * Removes all stored jobs and stops their runs, because another coordinator may take over.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void abandonAll(long nowNanos) {
        synchronized (mScheduler) {
            mJobs.forgetStoredJobs();
            for (ScheduledJob job : mJobs.snapshot()) {
                if (job.mSpec.isStored()) {
                    mScheduler.endAndStopRuns(job, StoredJob.State.OPEN, nowNanos);
                    mJobs.remove(job);
                }
            }
            mServers.all().forEach(server -> server.ends().markUnread());
        }
    }
}
