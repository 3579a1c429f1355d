package org.wagtailproxy.scheduling;

/** The lease of all that runs on a backend server: what was asked for, and what was granted. */
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

    void sampleClock(long clockMillis, long nowNanos) {
        mClock.sample(clockMillis, nowNanos);
    }

    /** Returns until when the lease is to be asked for now, on the server's clock. */
    long requestUntilMillis(long nowNanos) {
        long untilMillis = mClock.nowMillis(nowNanos) + mTiming.leaseMillis();
        mRequestedUntilMillis = Math.max(mRequestedUntilMillis, untilMillis);
        return untilMillis;
    }

    void recordGrant(long untilMillis) {
        mGrantedUntilMillis = Math.max(mGrantedUntilMillis, untilMillis);
    }

    boolean isRenewalDue(long nowNanos) {
        return mGrantedUntilMillis - mClock.nowMillis(nowNanos) < mTiming.renewMillis();
    }

    /** The latest moment, by the own clock, at which the last lease asked for can end. */
    long latestEndNanos() {
        return mClock.latestNanos(mRequestedUntilMillis);
    }

    void forgetClock() {
        mClock.forget();
    }

    /** A new incarnation has granted nothing. */
    void reset(long clockMillis, long nowNanos) {
        mClock.forget();
        mClock.sample(clockMillis, nowNanos);
        mRequestedUntilMillis = 0;
        mGrantedUntilMillis = 0;
    }
}
