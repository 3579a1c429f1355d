package org.wagtailproxy.scheduling;

import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.workload.JobId;

/**
 * Applies the evacuation of data centres to a scheduler. Tasks that run on an evacuated backend
 * server end by themselves; the server is polled and its lease extended as before, so that it can
 * be given tasks as soon as the evacuation ends. All methods run under the scheduler's lock.
 */
public final class EvacuationScheduling {

    private final ServiceScheduler mScheduler;
    private final JobRegistry mJobs;
    private final ServerSet mServers;

    EvacuationScheduling(ServiceScheduler scheduler, JobRegistry jobs, ServerSet servers) {
        mScheduler = scheduler;
        mJobs = jobs;
        mServers = servers;
    }

    /**
     * Updates the data centres whose backend servers get no new tasks.
     *
     * @param evacuations the evacuated data centres, not null
     */
    public void update(Evacuations evacuations) {
        synchronized (mScheduler) {
            mServers.updateEvacuations(evacuations);
        }
    }

    /**
     * Checks whether the service has backend servers but all of them are evacuated.
     *
     * @return true if no task can be placed before an evacuation ends or a server is added
     */
    public boolean isComplete() {
        synchronized (mScheduler) {
            return mServers.areAllEvacuated();
        }
    }

    /**
     * Refuses a job of which no task has been started.
     *
     * @param id the job's id, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void refuseUnstarted(JobId id, long nowNanos) {
        synchronized (mScheduler) {
            ScheduledJob job = mJobs.get(id);
            if (job != null && job.isRefusable() && !job.isEnded()) {
                mScheduler.refuse(job, nowNanos);
            }
        }
    }
}
