package org.wagtailproxy.scheduling;

import org.wagtailproxy.workload.DataCentreScope;

/**
 * Passes on what shows where tasks of inherited jobs, which an earlier leader may have started, can
 * still run. All methods run under the scheduler's lock.
 */
public final class InheritedJobScheduling {

    private final ServiceScheduler mScheduler;
    private final JobRegistry mJobs;
    private final ServerSet mServers;
    private final DuplicateRunGuard mDuplicateRunGuard;

    InheritedJobScheduling(
            ServiceScheduler scheduler,
            JobRegistry jobs,
            ServerSet servers,
            DuplicateRunGuard duplicateRunGuard) {
        mScheduler = scheduler;
        mJobs = jobs;
        mServers = servers;
        mDuplicateRunGuard = duplicateRunGuard;
    }

    /**
     * Updates the data centres whose backend servers this instance may use. A job that an earlier
     * leader may have started in another one has to wait until leases there have expired.
     *
     * @param scope the data centres, not null; all of them at first
     */
    public void updateScope(DataCentreScope scope) {
        synchronized (mScheduler) {
            mDuplicateRunGuard.updateScope(scope);
        }
    }

    /**
     * Records that a network partition has healed. Jobs that come from the other side may run on
     * servers that were missing in the directory on this side. Until the given time, having polled
     * all known servers is therefore no proof that a job runs nowhere.
     *
     * @param untilNanos the monotonic time until which jobs may arrive from the other side
     */
    public void assumeIncompleteServerList(long untilNanos) {
        synchronized (mScheduler) {
            mDuplicateRunGuard.assumeIncompleteServerList(untilNanos);
        }
    }

    /**
     * Records that no other instance of the pool led at a time, so that no earlier leader has
     * started tasks of a job that was accepted before.
     *
     * @param nanos the monotonic time of the proof in nanoseconds
     */
    public void recordNoOtherLeader(long nanos) {
        synchronized (mScheduler) {
            if (mDuplicateRunGuard.recordNoOtherLeader(mJobs.all(), nanos)) {
                mServers.all().forEach(BackendServer::requestPoll);
            }
        }
    }

    /**
     * Records that the last update of the servers reflects the directory at a time or later.
     *
     * @param nanos the monotonic time in nanoseconds
     * @param trackedSinceNanos the monotonic time since which no server can have been listed and
     *     removed again without being passed to {@link ServiceScheduler#updateServers}
     */
    public void recordServerListRead(long nanos, long trackedSinceNanos) {
        synchronized (mScheduler) {
            mDuplicateRunGuard.recordListRead(nanos, trackedSinceNanos);
        }
    }
}
