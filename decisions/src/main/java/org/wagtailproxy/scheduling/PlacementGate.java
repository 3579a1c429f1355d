package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether tasks may be placed by the list of backend servers that a leader knows, or
 * whether the list has to be confirmed first.
 *
 * <p>Designed for new leaders, whose list may be seconds old, and for connections to the store that
 * have gone silent. A server that drains must get no task some time after it has said so, which
 * only a list shows that the store has confirmed since. The store answers within milliseconds while
 * it is reachable, so placement waits that long. If it does not answer, tasks are placed by the
 * list as it is known, as callers must be served during an outage. Not thread-safe.
 */
public final class PlacementGate {

    /**
     * Part of the time for draining in which the list is confirmed again if nothing has changed.
     */
    private static final double CONFIRMATION_SHARE = 0.45;

    /** Time that is left for the start of a task when the list is too old to place it. */
    private static final long START_MILLIS = 150;

    /** Longest time for which placement waits for an answer of the store. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** Pause between two calls to the store, which limits them during an outage. */
    private static final long CALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

    private final long mConfirmationAgeNanos;
    private final long mMaxAgeNanos;
    private long mConfirmedNanos = NEVER_NANOS;
    private long mCalledNanos = NEVER_NANOS;
    private long mClosedSinceNanos = NEVER_NANOS;
    private boolean mClosed;
    private boolean mStoreUnavailable;

    private PlacementGate(long confirmationAgeNanos, long maxAgeNanos) {
        mConfirmationAgeNanos = confirmationAgeNanos;
        mMaxAgeNanos = maxAgeNanos;
    }

    /**
     * Creates a gate for a list that has not been read.
     *
     * @param drainMillis the time after which a draining server must get no task, in milliseconds
     * @return the gate, never null
     */
    public static PlacementGate of(long drainMillis) {
        long confirmationMillis = (long) (drainMillis * CONFIRMATION_SHARE);
        long maxAgeMillis = Math.max(confirmationMillis, drainMillis - START_MILLIS);
        return new PlacementGate(
                TimeUnit.MILLISECONDS.toNanos(confirmationMillis),
                TimeUnit.MILLISECONDS.toNanos(maxAgeMillis));
    }

    /**
     * Records that the list contains what the store contained at a time or later.
     *
     * @param askedNanos the monotonic time at which the store was asked, in nanoseconds
     */
    public void onConfirmed(long askedNanos) {
        mConfirmedNanos = Math.max(mConfirmedNanos, askedNanos);
        mClosed = false;
        mStoreUnavailable = false;
    }

    /** Records that the store does not answer, so that the list cannot be confirmed now. */
    public void onStoreUnavailable() {
        mStoreUnavailable = true;
    }

    /**
     * Checks whether tasks may be placed.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return false if the list has to be confirmed first
     */
    public boolean mayPlace(long nowNanos) {
        boolean isOutdated = ageNanos(nowNanos) > mMaxAgeNanos;
        if (!isOutdated) {
            mClosed = false;
            return true;
        }
        if (!mClosed) {
            mClosed = true;
            mClosedSinceNanos = nowNanos;
        }
        return mStoreUnavailable || nowNanos - mClosedSinceNanos > MAX_WAIT_NANOS;
    }

    /**
     * Checks whether a leader is to ask the store now, on another connection than those that may
     * have gone silent.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the list is to be confirmed; not again for a while
     */
    public boolean takeConfirmationDue(long nowNanos) {
        boolean isDue =
                ageNanos(nowNanos) > mConfirmationAgeNanos
                        && nowNanos - mCalledNanos > CALL_INTERVAL_NANOS;
        if (isDue) {
            mCalledNanos = nowNanos;
        }
        return isDue;
    }

    /**
     * Returns the age of the list.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the time since the store was asked for what the list contains, in nanoseconds
     */
    public long ageNanos(long nowNanos) {
        return nowNanos - mConfirmedNanos;
    }
}
