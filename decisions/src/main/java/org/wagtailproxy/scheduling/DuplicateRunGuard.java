package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether tasks of a job may run where this leader has not looked yet.
 *
 * <p>Answers changes of leader. An earlier leader's runs have been adopted from every server that
 * is held; elsewhere their leases run out. An earlier leader that handed the job over has told
 * which servers run it.
 */
final class DuplicateRunGuard {

    /**
     * Added to the lease of runs that an earlier leader may have started: it may still give orders
     * for this time before it notices that its callers' instances have turned away from it.
     */
    private static final long STEP_DOWN_MARGIN_MILLIS = 300;

    private final long mLeaseWithMarginNanos;
    private long mListIncompleteUntilNanos = Long.MIN_VALUE;

    DuplicateRunGuard(LeaseTiming timing) {
        mLeaseWithMarginNanos =
                TimeUnit.MILLISECONDS.toNanos(timing.leaseMillis() + STEP_DOWN_MARGIN_MILLIS);
    }

    /** Takes note that until a moment jobs may come that run on servers that are not known here. */
    void assumeIncompleteServerList(long untilNanos) {
        mListIncompleteUntilNanos = Math.max(mListIncompleteUntilNanos, untilNanos);
    }

    boolean mayStillRun(ScheduledJob job, ServerSet servers, long nowNanos) {
        if (!job.isInherited() || nowNanos - job.mAcceptedNanos > mLeaseWithMarginNanos) {
            return false;
        }
        if (job.inheritedFrom().isDefined()) {
            return !servers.polledSince(job.inheritedFrom().get(), job.mAcceptedNanos);
        }
        return job.mAcceptedNanos < mListIncompleteUntilNanos
                || !servers.allPolledSince(job.mAcceptedNanos);
    }
}
