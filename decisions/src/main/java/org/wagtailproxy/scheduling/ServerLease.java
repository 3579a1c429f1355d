package org.wagtailproxy.scheduling;

/**
 * Tracks the lease of the runs on a backend server: until when it was requested and granted, by the
 * server's clock. Runs end when the lease expires.
 */
final class ServerLease {

    private final ServerClock mClock = new ServerClock();
    private final LeaseTiming mTiming;
    private long mRequestedUntilMillis;
    private long mGrantedUntilMillis;

    ServerLease(LeaseTiming timing) {
        mTiming = timing;
    }

    boolean isClockKnown() {
        return mClock.isKnown();
    }

    /** Checks whether a reading of the server's clock shows that the server has restarted. */
    boolean showsRestart(long clockMillis) {
        return mClock.hasStartedAnew(clockMillis);
    }

    void sampleClock(long clockMillis, long nowNanos) {
        mClock.sample(clockMillis, nowNanos);
    }

    /** Records and returns the lease end to request now, in milliseconds of the server's clock. */
    long requestUntilMillis(long nowNanos) {
        long untilMillis = mClock.nowMillis(nowNanos) + mTiming.leaseMillis();
        mRequestedUntilMillis = Math.max(mRequestedUntilMillis, untilMillis);
        return untilMillis;
    }

    /** Takes the lease for the longest that the server may have granted to anyone until now. */
    void assumeLongest(long nowNanos) {
        long untilMillis = mClock.nowMillis(nowNanos) + mTiming.maxLeaseMillis();
        mRequestedUntilMillis = Math.max(mRequestedUntilMillis, untilMillis);
    }

    void recordGrant(long untilMillis) {
        mGrantedUntilMillis = Math.max(mGrantedUntilMillis, untilMillis);
    }

    boolean isRenewalDue(long nowNanos) {
        return mGrantedUntilMillis - mClock.nowMillis(nowNanos) < mTiming.renewMillis();
    }

    /** Returns the latest local monotonic time at which the last requested lease can end. */
    long latestEndNanos() {
        return mClock.latestNanos(mRequestedUntilMillis);
    }

    void resetClock() {
        mClock.reset();
    }

    /** Resets the lease for a new incarnation, which has granted nothing that is known here. */
    void reset(long clockMillis, long nowNanos) {
        mClock.reset();
        mClock.sample(clockMillis, nowNanos);
        mRequestedUntilMillis = 0;
        mGrantedUntilMillis = 0;
    }
}
