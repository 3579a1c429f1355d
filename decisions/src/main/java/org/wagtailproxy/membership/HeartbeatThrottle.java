package org.wagtailproxy.membership;

import java.time.Duration;

/** Paces heartbeats so that control traffic stays within its budget however many members exist. */
public final class HeartbeatThrottle {

    /** Part of the budget for regular heartbeats; the rest is for hurried ones and for views. */
    private static final double HEARTBEAT_PART = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private HeartbeatThrottle() {}

    /**
     * Computes by how much the intervals are stretched.
     *
     * @param neighbours members of the own data centre, 0 or more
     * @param interval the wanted interval to each of them, positive
     * @param others members of other data centres, 0 or more
     * @param otherInterval the wanted interval to each of them, positive
     * @param exchangeBytes bytes of one heartbeat and its answer
     * @param bytesPerSecond the budget, positive
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
        return Math.max(1, load / (bytesPerSecond * HEARTBEAT_PART));
    }
}
