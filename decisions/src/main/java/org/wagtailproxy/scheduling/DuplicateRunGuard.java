package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether tasks of a job may still run on servers that this leader has not polled yet, so
 * that they are not started twice.
 *
 * <p>Designed for changes of leader. An earlier leader that handed the job over has reported which
 * servers run it, and polls of these show its runs. One that did not may still start tasks of the
 * job, also on a server that was polled already. Polls are proof only once no other instance of the
 * pool leads; until then its leases have to expire.
 */
final class DuplicateRunGuard {

    /**
     * Added to the lease of runs that an earlier leader may have started. It may still send
     * commands for this time before it detects that its callers' instances no longer follow it.
     */
    private static final long STEP_DOWN_MARGIN_MILLIS = 300;

    private final long mLeaseWithMarginNanos;
    private long mListIncompleteUntilNanos = Long.MIN_VALUE;
    private long mNoOtherLeaderNanos = Long.MIN_VALUE;

    DuplicateRunGuard(LeaseTiming timing) {
        mLeaseWithMarginNanos =
                TimeUnit.MILLISECONDS.toNanos(timing.leaseMillis() + STEP_DOWN_MARGIN_MILLIS);
    }

    /**
     * Records that jobs accepted before the given time may run on servers that are not known here.
     */
    void assumeIncompleteServerList(long untilNanos) {
        mListIncompleteUntilNanos = Math.max(mListIncompleteUntilNanos, untilNanos);
    }

    /** Records that no other instance of the pool led at a time. */
    void recordNoOtherLeader(long nanos) {
        mNoOtherLeaderNanos = Math.max(mNoOtherLeaderNanos, nanos);
    }

    boolean mayStillRun(ScheduledJob job, ServerSet servers, long nowNanos) {
        if (!job.isInherited() || nowNanos - job.mAcceptedNanos > mLeaseWithMarginNanos) {
            return false;
        }
        if (job.inheritedServers().isDefined()) {
            return !servers.polledSince(job.inheritedServers().get(), job.mAcceptedNanos);
        }
        return job.mAcceptedNanos >= mNoOtherLeaderNanos
                || job.mAcceptedNanos < mListIncompleteUntilNanos
                || !servers.allPolledSince(job.mAcceptedNanos);
    }
}
