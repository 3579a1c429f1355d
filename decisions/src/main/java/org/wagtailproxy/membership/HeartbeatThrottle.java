package org.wagtailproxy.membership;

import java.time.Duration;

/**
 * Lengthens the intervals between heartbeats so that control traffic stays within its budget for
 * any number of members.
 */
public final class HeartbeatThrottle {

    /**
     * Fraction of the budget for regular heartbeats; the rest is for early heartbeats and for
     * configuration views.
     */
    private static final double REGULAR_HEARTBEAT_SHARE = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private HeartbeatThrottle() {}

    /**
     * Computes the factor by which the intervals are lengthened.
     *
     * @param neighbours number of members of the own data centre, 0 or more
     * @param interval the desired interval between heartbeats to each of them, positive
     * @param others number of members of other data centres, 0 or more
     * @param otherInterval the desired interval between heartbeats to each of them, positive
     * @param exchangeBytes the size of one heartbeat and its answer in bytes
     * @param bytesPerSecond the budget for control traffic, positive
     * @return the factor, 1 or more
     */
    public static double intervalFactor(
            int neighbours,
            Duration interval,
            int others,
            Duration otherInterval,
            double exchangeBytes,
            int bytesPerSecond) {
        double perSecond =
                neighbours * NANOS_PER_SECOND / interval.toNanos()
                        + others * NANOS_PER_SECOND / otherInterval.toNanos();
        double load = 2 * perSecond * exchangeBytes;
        return Math.max(1, load / (bytesPerSecond * REGULAR_HEARTBEAT_SHARE));
    }
}
