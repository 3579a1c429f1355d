package org.wagtailproxy.coordination;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.wagtailproxy.leadership.InstanceName;

/**
 * Decides since when the coordinators before this one neither start tasks of stored jobs nor extend
 * the leases of their runs.
 *
 * <p>Designed for former coordinators that are alive but cannot be reached. Once this coordinator
 * has written the guard, the store confirms no other one any more. Then the authority of a former
 * one lapses after the time for which a confirmation holds, if at least half of the electors that
 * it has recorded support this coordinator, or else after the longest time that it may go on
 * without the store. Not thread-safe.
 */
public final class FormerCoordinator {

    private final ElectorSupport mSupport = new ElectorSupport();
    private final Collection<Set<InstanceName>> mElectorSets;
    private final long mReplacedNanos;
    private Option<Long> mEndedNanos = Option.none();
    private Reason mReason = Reason.TIME;

    /** Why the authority of a former coordinator has lapsed. */
    public enum Reason {
        /** Its electors support this coordinator. */
        ELECTORS,
        /** It was without the store for too long. */
        TIME
    }

    private FormerCoordinator(Collection<Set<InstanceName>> electorSets, long replacedNanos) {
        mElectorSets = electorSets;
        mReplacedNanos = replacedNanos;
    }

    /**
     * Creates the decision on coordinators whose guard this one has replaced.
     *
     * @param electorSets the electors that were recorded with the guard, empty if there were none,
     *     not null
     * @param replacedNanos the monotonic time at which the store had confirmed the new guard, in
     *     nanoseconds
     * @return the decision, never null
     */
    public static FormerCoordinator of(
            Collection<Set<InstanceName>> electorSets, long replacedNanos) {
        return new FormerCoordinator(List.copyOf(electorSets), replacedNanos);
    }

    /**
     * Records that an elector supports this coordinator.
     *
     * @param elector the elector, not null
     * @param askedNanos the monotonic time at which it was asked, in nanoseconds
     */
    public void onSupported(InstanceName elector, long askedNanos) {
        mSupport.record(elector, askedNanos);
    }

    /**
     * Returns since when no former coordinator has authority.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the monotonic time in nanoseconds, none if one may still have it
     */
    public Option<Long> endedNanos(long nowNanos) {
        if (mEndedNanos.isEmpty()) {
            decide(nowNanos);
        }
        return mEndedNanos;
    }

    private void decide(long nowNanos) {
        long passedNanos = nowNanos - mReplacedNanos;
        if (passedNanos > CoordinatorAuthority.MAX_NANOS_WITHOUT_STORE) {
            mEndedNanos = Option.some(nowNanos);
        } else if (passedNanos > ElectorSupport.VALID_NANOS
                && mSupport.isBlocking(mElectorSets, nowNanos)) {
            mReason = Reason.ELECTORS;
            mEndedNanos = Option.some(nowNanos);
        }
    }

    /**
     * Returns why the authority of the former coordinators has lapsed. Call only once {@link
     * #endedNanos} has returned a time.
     *
     * @return the reason, never null
     */
    public Reason reason() {
        return mReason;
    }
}
