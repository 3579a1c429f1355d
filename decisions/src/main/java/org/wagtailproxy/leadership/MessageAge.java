package org.wagtailproxy.leadership;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a request of another instance has been held up on its way, so that its sender may
 * have given it up. A request carries the last clock of the receiver that its sender knew, which is
 * at least as old as the request.
 *
 * <p>Designed for network partitions: bytes that were sent before one arrive when it heals, also on
 * connections that the sender has closed, and in any order. Not thread-safe; confined to one
 * thread.
 */
public final class MessageAge {

    /** The clock of a sender that does not report it, or knows none. */
    public static final long UNKNOWN_CLOCK_NANOS = 0;

    /** Send time of a request that was sent to an earlier process, or before a suspension. */
    private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Age from which a request is outdated. A sender probes its leader several times within this
     * time, and gives it up if it gets no answer.
     */
    private static final long MAX_AGE_NANOS = PeerTable.UNRESPONSIVE_AFTER_NANOS;

    private long mSuspendedNanos = Long.MIN_VALUE;

    /** Creates a decision for a machine that was not suspended. */
    public MessageAge() {}

    /**
     * Records that this machine may have been suspended, during which its clock stood still.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSuspension(long nowNanos) {
        mSuspendedNanos = nowNanos;
    }

    /**
     * Checks whether a request may have been held up.
     *
     * @param clockNanos the clock of this instance that the request carries
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the request is too old, or refers to the clock of an earlier process; false
     *     if its sender knows no clock
     */
    public boolean isOutdated(long clockNanos, long nowNanos) {
        if (clockNanos == UNKNOWN_CLOCK_NANOS) {
            return false;
        }
        long ageNanos = nowNanos - clockNanos;
        return clockNanos < mSuspendedNanos || ageNanos < 0 || ageNanos > MAX_AGE_NANOS;
    }

    /**
     * Returns a time at or before which a request was sent, however long it was held up.
     *
     * @param clockNanos the clock of this instance that the request carries
     * @param clockAgeMillis the time in milliseconds for which its sender has known that clock
     * @param nowNanos the monotonic time in nanoseconds
     * @return the monotonic time in nanoseconds; now if the sender knows no clock, far in the past
     *     if the request was sent to an earlier process or before this machine was suspended
     */
    public long sentNanos(long clockNanos, long clockAgeMillis, long nowNanos) {
        if (clockNanos == UNKNOWN_CLOCK_NANOS) {
            return nowNanos;
        }
        if (clockNanos < mSuspendedNanos || clockNanos > nowNanos) {
            return LONG_AGO_NANOS;
        }
        long maxAgeMillis = (nowNanos - clockNanos) / NANOS_PER_MILLI;
        return clockNanos + Math.max(0, Math.min(clockAgeMillis, maxAgeMillis)) * NANOS_PER_MILLI;
    }
}
