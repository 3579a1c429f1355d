package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

/**
 * The part of a scheduler that concerns stored jobs: what must be saved before a backend server may
 * forget it, and what the next keeper takes over. Under the scheduler's lock.
 */
public final class StoredJobScheduling {

    private final ServiceScheduler mScheduler;
    private final JobRegistry mJobs;
    private final ServerSet mServers;
    private final SchedulerListener mListener;

    StoredJobScheduling(
            ServiceScheduler scheduler,
            JobRegistry jobs,
            ServerSet servers,
            SchedulerListener listener) {
        mScheduler = scheduler;
        mJobs = jobs;
        mServers = servers;
        mListener = listener;
    }

    /**
     * Decides whether a job that is to be stored would be refused if its caller waited for its end.
     *
     * @param spec the job, not null
     * @param arrivedNanos when its caller sent it, by the monotonic time
     * @param nowNanos the monotonic time in nanoseconds
     * @return when its caller should come back, in milliseconds; none if it is to be accepted
     */
    public Option<Long> retryDelayIfRefused(WorkSpec spec, long arrivedNanos, long nowNanos) {
        synchronized (mScheduler) {
            return mScheduler.retryMillisIfRefused(spec, arrivedNanos, nowNanos);
        }
    }

    /**
     * Takes a stored job in.
     *
     * @param job the job, open, not null
     * @param highestAttempt exceeds the attempts of earlier leaders, 0 if there was none
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void add(StoredJob job, int highestAttempt, long nowNanos) {
        synchronized (mScheduler) {
            ScheduledJob scheduledJob = ScheduledJob.ofStoredJob(job, highestAttempt, nowNanos);
            mJobs.add(scheduledJob);
            // Runs of a term that was given up may not have been stopped yet.
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
     * Sets whether jobs that are not known may be stored ones. Ends of their tasks then stay listed
     * at the servers until all stored jobs have been taken in.
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
     * Takes note that all stored jobs have been taken in.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onAllRead(long nowNanos) {
        synchronized (mScheduler) {
            mJobs.setStoredJobsRead(true);
            mServers.all().forEach(server -> server.onStoredJobsRead(nowNanos));
        }
    }

    /**
     * Takes note that changes of a stored job are saved.
     *
     * @param id which, not null
     * @param change the last of them, as told to the listener
     */
    public void onSaved(JobId id, long change) {
        synchronized (mScheduler) {
            ScheduledJob job = mJobs.get(id);
            if (job != null) {
                job.onSaved(change);
                mJobs.removeIfIdle(job);
            }
            mServers.all().forEach(server -> server.ends().onSaved(id, change));
        }
    }

    /**
     * Stops a stored job for good.
     *
     * @param id which, not null
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
     * Forgets all stored jobs and stops their tasks, because another leader may take them over.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void abandonAll(long nowNanos) {
        synchronized (mScheduler) {
            mJobs.setStoredJobsRead(false);
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
