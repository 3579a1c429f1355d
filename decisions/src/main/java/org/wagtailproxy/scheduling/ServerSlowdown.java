package org.wagtailproxy.scheduling;

/**
 * Learns how fast a backend server is, as run time relative to the callers' estimates.
 *
 * <p>Answers the load on servers of which a quarter has half the speed of the others, some turn six
 * times slower for seconds, and estimates are off by a factor of one and a half: a geometric
 * running mean, which forgets within a few tasks.
 */
final class ServerSlowdown {

    /** Weight of a new observation; about five observations count. */
    private static final double WEIGHT = 0.2;

    /** Weight of an observation that is far from the mean, to notice a change of speed soon. */
    private static final double OUTLIER_WEIGHT = 0.5;

    /** Ratio to the mean beyond which an observation is a surprise; twice the estimates' error. */
    private static final double OUTLIER_LOG_DISTANCE = Math.log(2.2);

    /** Bounds of a ratio that is believed. */
    private static final double MIN_RATIO = 0.1;

    private static final double MAX_RATIO = 20;

    private double mLogRatio;
    private boolean mObserved;

    boolean isObserved() {
        return mObserved;
    }

    void observe(double tookMillis, double estimateMillis) {
        double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, tookMillis / estimateMillis));
        double value = Math.log(ratio);
        if (!mObserved) {
            mLogRatio = value;
            mObserved = true;
            return;
        }
        double weight =
                Math.abs(value - mLogRatio) > OUTLIER_LOG_DISTANCE ? OUTLIER_WEIGHT : WEIGHT;
        mLogRatio += weight * (value - mLogRatio);
    }

    /** Returns run time divided by estimate; the given value before anything was observed. */
    double ratio(double ifUnknown) {
        return mObserved ? Math.exp(mLogRatio) : ifUnknown;
    }
}
