package org.wagtailproxy.scheduling;

/**
 * Tracks the slowdown of a backend server: run time divided by the callers' estimate.
 *
 * <p>Designed for a load in which a quarter of the servers has half the speed of the others, some
 * become six times slower for seconds, and estimates are off by a factor of one and a half. Uses a
 * geometric running mean, in which an observation loses its weight within a few tasks.
 */
final class ServerSlowdown {

    /** Weight of a new observation; the mean covers about five observations. */
    private static final double WEIGHT = 0.2;

    /** Weight of an outlier, higher so that a change of speed is detected soon. */
    private static final double OUTLIER_WEIGHT = 0.5;

    /** Log ratio to the mean beyond which a value is an outlier; twice the estimates' error. */
    private static final double OUTLIER_LOG_DISTANCE = Math.log(2.2);

    /** Bounds to which an observed ratio is clamped. */
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

    /** Returns run time divided by estimate, the given value if nothing was observed yet. */
    double ratio(double ifUnknown) {
        return mObserved ? Math.exp(mLogRatio) : ifUnknown;
    }
}
