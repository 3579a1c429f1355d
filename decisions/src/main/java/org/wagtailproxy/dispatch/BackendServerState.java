package org.wagtailproxy.dispatch;

/**
 * What one entry instance knows of one backend server: work in flight, speed and health.
 *
 * <p>Not safe for use by several threads; the owner holds a lock.
 */
final class BackendServerState {

    /** Weight of a new observation in the running mean of the log of the slowness. */
    private static final double SLOWDOWN_GAIN = 0.1;

    /** Failures in a row after which a backend server is ejected. */
    static final int EJECTION_FAILURES = 5;

    /** First pause of an ejected backend server between probes, in nanoseconds. */
    static final long FIRST_PROBE_PAUSE_NANOS = 1_000_000_000L;

    /** Longest pause of an ejected backend server between probes, in nanoseconds. */
    static final long MAX_PROBE_PAUSE_NANOS = 16_000_000_000L;

    /** Pause after a refusal for lack of a slot, in nanoseconds. */
    static final long FIRST_REFUSAL_PAUSE_NANOS = 20_000_000L;

    /** Longest pause after refusals in a row, in nanoseconds. */
    static final long MAX_REFUSAL_PAUSE_NANOS = 640_000_000L;

    /** Pause before one more task is tried beyond what a refusal taught, in nanoseconds. */
    static final long LIMIT_GROWTH_INTERVAL_NANOS = 300_000_000L;

    private BackendServerListing mListing;
    private int mRefusalLimit = Integer.MAX_VALUE;
    private long mRefusalLimitSetNanos;
    private int mInFlight;
    private int mShare;
    private double mLogSlowdown;
    private boolean mObserved;
    private int mConsecutiveFailures;
    private int mConsecutiveRefusals;
    private boolean mEjected;
    private long mPausedUntilNanos;
    private long mProbePauseNanos = FIRST_PROBE_PAUSE_NANOS;

    BackendServerState(BackendServerListing listing, long nowNanos) {
        mListing = listing;
        mShare = listing.slots();
        mPausedUntilNanos = nowNanos;
    }

    BackendServerListing listing() {
        return mListing;
    }

    BackendServerId id() {
        return mListing.id();
    }

    void updateListing(BackendServerListing listing) {
        mListing = listing;
    }

    int inFlight() {
        return mInFlight;
    }

    int share() {
        return mShare;
    }

    void updateShare(int share) {
        mShare = share;
    }

    boolean isEjected() {
        return mEjected;
    }

    boolean isObserved() {
        return mObserved;
    }

    /** Returns the run time of a task on this backend server relative to its declared run time. */
    double slowdown() {
        return Math.exp(mLogSlowdown);
    }

    /** Takes over a prior for a backend server that has not been observed. */
    void assumeSlowdown(double slowness) {
        if (!mObserved) {
            mLogSlowdown = Math.log(slowness);
        }
    }

    /**
     * Returns how many tasks may be in flight here after refusals, which show that others hold the
     * slots that this instance has a share of; one more is tried from time to time.
     */
    int refusalLimit(long nowNanos) {
        if (mRefusalLimit == Integer.MAX_VALUE) {
            return mRefusalLimit;
        }
        long growth = (nowNanos - mRefusalLimitSetNanos) / LIMIT_GROWTH_INTERVAL_NANOS;
        long limit = mRefusalLimit + growth;
        if (limit >= mListing.slots()) {
            mRefusalLimit = Integer.MAX_VALUE;
            return mRefusalLimit;
        }
        return (int) limit;
    }

    /** Checks whether the backend server may be sent a task now, leaving shares aside. */
    boolean isAvailable(long nowNanos) {
        if (mListing.leaving() || nowNanos - mPausedUntilNanos < 0) {
            return false;
        }
        return !mEjected || mInFlight == 0;
    }

    void onStarted() {
        mInFlight++;
    }

    void onAnswered(long tookNanos, long declaredMilliseconds) {
        mInFlight--;
        clearFailures();
        double ratio = Math.max(1, tookNanos) / (declaredMilliseconds * 1e6);
        double gain = mObserved ? SLOWDOWN_GAIN : 1;
        mLogSlowdown += gain * (Math.log(ratio) - mLogSlowdown);
        mObserved = true;
    }

    void onAbandoned() {
        mInFlight--;
    }

    void onRefused(long nowNanos) {
        mInFlight--;
        mRefusalLimit = mInFlight;
        mRefusalLimitSetNanos = nowNanos;
        int doublings = Math.min(mConsecutiveRefusals, 5);
        mConsecutiveRefusals++;
        long pause = Math.min(FIRST_REFUSAL_PAUSE_NANOS << doublings, MAX_REFUSAL_PAUSE_NANOS);
        mPausedUntilNanos = nowNanos + pause;
    }

    void onFailed(boolean mayEject, long nowNanos) {
        mInFlight--;
        mConsecutiveFailures++;
        if (mEjected) {
            mProbePauseNanos = Math.min(2 * mProbePauseNanos, MAX_PROBE_PAUSE_NANOS);
            mPausedUntilNanos = nowNanos + mProbePauseNanos;
        } else if (mConsecutiveFailures >= EJECTION_FAILURES && mayEject) {
            mEjected = true;
            mPausedUntilNanos = nowNanos + mProbePauseNanos;
        }
    }

    private void clearFailures() {
        mConsecutiveFailures = 0;
        mConsecutiveRefusals = 0;
        mEjected = false;
        mProbePauseNanos = FIRST_PROBE_PAUSE_NANOS;
    }
}
