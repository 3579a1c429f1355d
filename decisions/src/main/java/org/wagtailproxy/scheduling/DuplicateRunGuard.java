package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether tasks of a job may still run on servers that this leader has not polled yet, so
 * that they are not started twice.
 *
 * <p>Designed for changes of leader. The runs of an earlier leader have been adopted from every
 * held server that was polled since the job was accepted; on other servers their leases expire. An
 * earlier leader that handed the job over has reported which servers run it.
 */
final class DuplicateRunGuard {

    /**
     * Added to the lease of runs that an earlier leader may have started. It may still send
     * commands for this time before it detects that its callers' instances no longer follow it.
     */
    private static final long STEP_DOWN_MARGIN_MILLIS = 300;

    private final long mLeaseWithMarginNanos;
    private long mListIncompleteUntilNanos = Long.MIN_VALUE;

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

    boolean mayStillRun(ScheduledJob job, ServerSet servers, long nowNanos) {
        if (!job.isInherited() || nowNanos - job.mAcceptedNanos > mLeaseWithMarginNanos) {
            return false;
        }
        if (job.inheritedServers().isDefined()) {
            return !servers.polledSince(job.inheritedServers().get(), job.mAcceptedNanos);
        }
        return job.mAcceptedNanos < mListIncompleteUntilNanos
                || !servers.allPolledSince(job.mAcceptedNanos);
    }
}
