package org.wagtailproxy.session;

/**
 * Bounds how often something is done per second, with bursts of one second.
 *
 * <p>Safe for use by several threads.
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
     * Creates a full budget.
     *
     * @param perSecond how often per second, 1 or more
     * @param nowNanos the monotonic time in nanoseconds
     * @return the budget, never null
     */
    public static RateLimiter of(int perSecond, long nowNanos) {
        if (perSecond < 1) {
            throw new IllegalArgumentException("perSecond is below 1");
        }
        return new RateLimiter(perSecond, nowNanos);
    }

    /**
     * Spends one unit if there is one.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if it was spent
     */
    public synchronized boolean tryAcquire(long nowNanos) {
        double earned = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND * mPerSecond;
        mPermits = Math.min(mPerSecond, mPermits + earned);
        mRefilledNanos = nowNanos;
        if (mPermits < 1) {
            return false;
        }
        mPermits -= 1;
        return true;
    }
}
