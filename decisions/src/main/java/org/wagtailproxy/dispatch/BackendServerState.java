package org.wagtailproxy.dispatch;

/**
 * Tracks what this instance knows of one backend server: tasks in flight, slowdown and health.
 *
 * <p>Not thread-safe; the owner synchronizes access.
 */
final class BackendServerState {

    /** Weight of a new observation in the moving average of the logarithm of the slowdown. */
    private static final double SLOWDOWN_GAIN = 0.1;

    /** Failures without an answer in between after which a backend server is ejected. */
    static final int EJECTION_FAILURES = 5;

    /** Initial pause before an ejected backend server is probed with a task, in nanoseconds. */
    static final long FIRST_PROBE_PAUSE_NANOS = 1_000_000_000L;

    /** Maximum pause between probes of an ejected backend server, in nanoseconds. */
    static final long MAX_PROBE_PAUSE_NANOS = 16_000_000_000L;

    /**
     * Initial pause after a refusal for lack of a free slot, in nanoseconds; doubled for each
     * further refusal.
     */
    static final long FIRST_REFUSAL_PAUSE_NANOS = 20_000_000L;

    /** Maximum pause after consecutive refusals, in nanoseconds. */
    static final long MAX_REFUSAL_PAUSE_NANOS = 640_000_000L;

    /** Interval after which the limit that a refusal set grows by one task, in nanoseconds. */
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

    /** Returns the slowdown: the run time of a task here divided by its declared run time. */
    double slowdown() {
        return Math.exp(mLogSlowdown);
    }

    /** Sets the assumed slowdown of a backend server that has not been observed yet. */
    void assumeSlowdown(double slowdown) {
        if (!mObserved) {
            mLogSlowdown = Math.log(slowdown);
        }
    }

    /**
     * Returns how many tasks may be in flight here after a refusal. A refusal shows that other
     * instances use slots of this instance's share, so the limit falls to the tasks then in flight.
     * It grows by one per {@link #LIMIT_GROWTH_INTERVAL_NANOS}.
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

    /**
     * Checks whether the backend server may be sent a task now, apart from the limits of tasks in
     * flight. An ejected server is probed with one task at a time.
     */
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
        double slowdown = Math.max(1, tookNanos) / (declaredMilliseconds * 1e6);
        double gain = mObserved ? SLOWDOWN_GAIN : 1;
        mLogSlowdown += gain * (Math.log(slowdown) - mLogSlowdown);
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
