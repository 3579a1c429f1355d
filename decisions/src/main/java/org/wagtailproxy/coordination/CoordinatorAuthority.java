package org.wagtailproxy.coordination;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.leadership.InstanceName;

/**
 * Decides whether the coordinator of the stored jobs may still start their tasks and extend the
 * leases of their runs.
 *
 * <p>Designed for partitions and outages in which the coordinator does not learn that another
 * instance has taken over. It is the coordinator for a limited time after the store has confirmed
 * that the guard is its own. If the store does not answer, which it may not do for any instance,
 * the support of more than half of the electors takes its place for a while; the next coordinator
 * needs at least half of them, or waits for that while, see {@link FormerCoordinator}. Once its
 * authority has lapsed, only the store can restore it. A confirmation counts from when it was asked
 * for. Not thread-safe.
 */
public final class CoordinatorAuthority {

    /** Time without the store after which no majority of the electors is enough. */
    static final long MAX_NANOS_WITHOUT_STORE = TimeUnit.SECONDS.toNanos(10);

    private static final long NEVER_NANOS = ElectorSupport.NEVER_NANOS;

    private final ElectorSupport mSupport = new ElectorSupport();
    private Collection<Set<InstanceName>> mElectorSets = List.of();
    private long mStoreAskedNanos = NEVER_NANOS;
    private long mValidUntilNanos = NEVER_NANOS;

    /** What an authority rests on. */
    public enum Evidence {
        /** The store has confirmed lately that the guard is that of this coordinator. */
        STORE,
        /** More than half of the electors support it. */
        ELECTORS,
        /** Nothing; another instance may coordinate the stored jobs. */
        NONE
    }

    /** Creates an authority that has not been confirmed. */
    public CoordinatorAuthority() {}

    /**
     * Updates the electors that are recorded with the guard.
     *
     * @param electorSets sets of which each has to support the coordinator by a majority, not null
     */
    public void updateElectors(Collection<Set<InstanceName>> electorSets) {
        mElectorSets = List.copyOf(electorSets);
    }

    /**
     * Records that the store has confirmed the guard.
     *
     * @param askedNanos the monotonic time at which the store was asked, in nanoseconds
     */
    public void onStoreConfirmed(long askedNanos) {
        mStoreAskedNanos = Math.max(mStoreAskedNanos, askedNanos);
        mValidUntilNanos =
                Math.max(mValidUntilNanos, mStoreAskedNanos + ElectorSupport.VALID_NANOS);
    }

    /**
     * Records that an elector supports this coordinator.
     *
     * @param elector the elector, not null
     * @param askedNanos the monotonic time at which it was asked, in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSupported(InstanceName elector, long askedNanos, long nowNanos) {
        mSupport.record(elector, askedNanos);
        if (!isValid(nowNanos)) {
            return;
        }
        long untilNanos =
                Math.min(
                        mSupport.majorityUntilNanos(mElectorSets),
                        mStoreAskedNanos + MAX_NANOS_WITHOUT_STORE);
        mValidUntilNanos = Math.max(mValidUntilNanos, untilNanos);
    }

    /** Records that this machine may have been suspended, so that its clock does not show ages. */
    public void onSuspension() {
        mSupport.clear();
        mStoreAskedNanos = NEVER_NANOS;
        mValidUntilNanos = NEVER_NANOS;
    }

    /**
     * Checks whether tasks may be started and leases extended.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if no other instance starts tasks of stored jobs
     */
    public boolean isValid(long nowNanos) {
        return nowNanos <= mValidUntilNanos;
    }

    /**
     * Returns what the authority rests on.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the evidence, never null
     */
    public Evidence evidence(long nowNanos) {
        if (!isValid(nowNanos)) {
            return Evidence.NONE;
        }
        boolean isRecent = nowNanos - mStoreAskedNanos <= ElectorSupport.VALID_NANOS;
        return isRecent ? Evidence.STORE : Evidence.ELECTORS;
    }
}
