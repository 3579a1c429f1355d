package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * What is known of a backend server's clock, and until when a lease by that clock can last.
 *
 * <p>A sample is taken when an answer arrives, so the server's clock shows at least the sampled
 * value from then on. It may run slow by {@link #MIN_RATE}.
 */
final class ServerClock {

    /** Leases are measured by clocks that may be 2% slow. */
    private static final double MIN_RATE = 0.98;

    private boolean mKnown;
    private long mSampleMillis;
    private long mSampleNanos;

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

    void forget() {
        mKnown = false;
    }

    /** Estimates what the clock shows. */
    long nowMillis(long nowNanos) {
        return mSampleMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - mSampleNanos);
    }

    /** The latest moment, by the own clock, at which the server's clock reaches a value. */
    long latestNanos(long clockMillis) {
        double remainingMillis = Math.max(0, clockMillis - mSampleMillis) / MIN_RATE;
        return mSampleNanos + (long) (remainingMillis * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
