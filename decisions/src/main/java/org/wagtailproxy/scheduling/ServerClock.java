package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Estimates a backend server's clock and the latest local time at which it reaches a given value.
 *
 * <p>A sample is recorded when an answer arrives, so the server's clock shows at least the sampled
 * value from then on. The clock may run at a rate as low as {@link #MIN_RATE}.
 */
final class ServerClock {

    /** Lowest rate of a server's clock relative to the local one; it may be 2% slow. */
    private static final double MIN_RATE = 0.98;

    /** Time by which an answer may be older than one that has arrived before it. */
    private static final long MAX_OVERTAKING_MILLIS = 1000;

    private boolean mKnown;
    private long mSampleMillis;
    private long mSampleNanos;

    /** Returns the longest local time that a duration by a server's clock may take. */
    static long longestMillis(long millis) {
        return (long) Math.ceil(millis / MIN_RATE);
    }

    boolean isKnown() {
        return mKnown;
    }

    void sample(long clockMillis, long nowNanos) {
        if (!mKnown || clockMillis >= nowMillis(nowNanos) - 1 || clockMillis >= mSampleMillis) {
            mKnown = true;
            mSampleMillis = clockMillis;
            mSampleNanos = nowNanos;
        }
    }

    /**
     * Checks whether a reading shows that the clock has started anew, as it does with the server.
     */
    boolean hasStartedAnew(long clockMillis) {
        return mKnown && clockMillis + MAX_OVERTAKING_MILLIS < mSampleMillis;
    }

    void reset() {
        mKnown = false;
    }

    /** Estimates the current value of the server's clock in milliseconds. */
    long nowMillis(long nowNanos) {
        return mSampleMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - mSampleNanos);
    }

    /** Returns the latest local monotonic time at which the server's clock reaches a value. */
    long latestNanos(long clockMillis) {
        double remainingMillis = Math.max(0, clockMillis - mSampleMillis) / MIN_RATE;
        return mSampleNanos + (long) (remainingMillis * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
