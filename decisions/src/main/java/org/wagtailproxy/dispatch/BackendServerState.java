package org.wagtailproxy.dispatch;

/**
 * What one entry instance knows of one backend server: work in flight, speed and health.
 *
 * <p>Not safe for use by several threads; the owner holds a lock.
 */
final class BackendServerState {

    /** Weight of a new observation in the running mean of the log of the slowness. */
    private static final double SLOWNESS_GAIN = 0.1;

    /** Failures in a row after which a backend server is ejected. */
    static final int EJECTION_FAILURES = 5;

    /** First pause of an ejected backend server between probes, in nanoseconds. */
    static final long FIRST_PROBE_PAUSE_NANOS = 1_000_000_000L;

    /** Longest pause of an ejected backend server between probes, in nanoseconds. */
    static final long LONGEST_PROBE_PAUSE_NANOS = 16_000_000_000L;

    /** Pause after a refusal for lack of a slot, in nanoseconds. */
    static final long REFUSAL_PAUSE_NANOS = 20_000_000L;

    /** Longest pause after refusals in a row, in nanoseconds. */
    static final long LONGEST_REFUSAL_PAUSE_NANOS = 640_000_000L;

    /** Pause before one more task is tried beyond what a refusal taught, in nanoseconds. */
    static final long GROWTH_PAUSE_NANOS = 300_000_000L;

    private BackendServerListing mListing;
    private int mLearntLimit = Integer.MAX_VALUE;
    private long mLearntNanos;
    private int mInFlight;
    private int mShare;
    private double mLogSlowness;
    private boolean mObserved;
    private int mFailures;
    private int mRefusals;
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

    void listing(BackendServerListing listing) {
        mListing = listing;
    }

    int inFlight() {
        return mInFlight;
    }

    int share() {
        return mShare;
    }

    void share(int share) {
        mShare = share;
    }

    boolean ejected() {
        return mEjected;
    }

    boolean observed() {
        return mObserved;
    }

    /** Returns the run time of a task on this backend server relative to its declared run time. */
    double slowness() {
        return Math.exp(mLogSlowness);
    }

    /** Takes over a prior for a backend server that has not been observed. */
    void assumeSlowness(double slowness) {
        if (!mObserved) {
            mLogSlowness = Math.log(slowness);
        }
    }

    /**
     * Returns how many tasks may be in flight here after refusals, which show that others hold the
     * slots that this instance has a share of; one more is tried from time to time.
     */
    int learntLimit(long nowNanos) {
        if (mLearntLimit == Integer.MAX_VALUE) {
            return mLearntLimit;
        }
        long growth = (nowNanos - mLearntNanos) / GROWTH_PAUSE_NANOS;
        long limit = mLearntLimit + growth;
        if (limit >= mListing.slots()) {
            mLearntLimit = Integer.MAX_VALUE;
            return mLearntLimit;
        }
        return (int) limit;
    }

    /** Tests whether the backend server may be sent a task now, leaving shares aside. */
    boolean available(long nowNanos) {
        if (mListing.leaving() || nowNanos - mPausedUntilNanos < 0) {
            return false;
        }
        return !mEjected || mInFlight == 0;
    }

    void started() {
        mInFlight++;
    }

    void answered(long tookNanos, long declaredMilliseconds) {
        mInFlight--;
        healthy();
        double ratio = Math.max(1, tookNanos) / (declaredMilliseconds * 1e6);
        double gain = mObserved ? SLOWNESS_GAIN : 1;
        mLogSlowness += gain * (Math.log(ratio) - mLogSlowness);
        mObserved = true;
    }

    void abandoned() {
        mInFlight--;
    }

    void refused(long nowNanos) {
        mInFlight--;
        mLearntLimit = mInFlight;
        mLearntNanos = nowNanos;
        int doublings = Math.min(mRefusals, 5);
        mRefusals++;
        long pause = Math.min(REFUSAL_PAUSE_NANOS << doublings, LONGEST_REFUSAL_PAUSE_NANOS);
        mPausedUntilNanos = nowNanos + pause;
    }

    void failed(boolean mayEject, long nowNanos) {
        mInFlight--;
        mFailures++;
        if (mEjected) {
            mProbePauseNanos = Math.min(2 * mProbePauseNanos, LONGEST_PROBE_PAUSE_NANOS);
            mPausedUntilNanos = nowNanos + mProbePauseNanos;
        } else if (mFailures >= EJECTION_FAILURES && mayEject) {
            mEjected = true;
            mPausedUntilNanos = nowNanos + mProbePauseNanos;
        }
    }

    private void healthy() {
        mFailures = 0;
        mRefusals = 0;
        mEjected = false;
        mProbePauseNanos = FIRST_PROBE_PAUSE_NANOS;
    }
}
