package org.wagtailproxy.session;

/**
 * Limits the number of operations per second. Allows bursts of the permits of one second.
 *
 * <p>Thread-safe.
 */
public final class RateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final int mPerSecond;
    private double mPermits;
    private long mRefilledNanos;

    private RateLimiter(int perSecond, long nowNanos) {
        mPerSecond = perSecond;
        mPermits = perSecond;
        mRefilledNanos = nowNanos;
    }

    /**
     * Creates a limiter with the permits of one second.
     *
     * @param perSecond the number of permits per second, 1 or more
     * @param nowNanos the monotonic time in nanoseconds
     * @return the limiter, never null
     */
    public static RateLimiter of(int perSecond, long nowNanos) {
        if (perSecond < 1) {
            throw new IllegalArgumentException("perSecond is below 1");
        }
        return new RateLimiter(perSecond, nowNanos);
    }

    /**
     * Takes one permit if one is available.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if a permit was taken
     */
    public synchronized boolean tryAcquire(long nowNanos) {
        double refilled = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND * mPerSecond;
        mPermits = Math.min(mPerSecond, mPermits + refilled);
        mRefilledNanos = nowNanos;
        if (mPermits < 1) {
            return false;
        }
        mPermits -= 1;
        return true;
    }
}
