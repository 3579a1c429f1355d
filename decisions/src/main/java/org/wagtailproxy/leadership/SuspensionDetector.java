package org.wagtailproxy.leadership;

import java.util.concurrent.TimeUnit;

/**
 * Notices that the machine may have been suspended.
 *
 * <p>The monotonic clock stands still while a machine is suspended, and the time of day goes on. So
 * a leader that has been suspended believes that its knowledge is fresh, although another one may
 * have taken over long ago. A jump of the time of day looks the same; callers only make sure of
 * what they believe, which is cheap.
 *
 * <p>Confined to one thread.
 */
public final class SuspensionDetector {

    /** Lead of the time of day that is taken for a suspension; several rounds between peers. */
    private static final long SUSPECTED_MILLIS = 350;

    private long mLeadMillis;

    /**
     * Starts to watch.
     *
     * @param monotonicNanos the monotonic time in nanoseconds
     * @param wallMillis the time of day in milliseconds since 1970
     */
    public SuspensionDetector(long monotonicNanos, long wallMillis) {
        mLeadMillis = lead(monotonicNanos, wallMillis);
    }

    /**
     * Compares both clocks with the last time.
     *
     * @param monotonicNanos the monotonic time in nanoseconds
     * @param wallMillis the time of day in milliseconds since 1970
     * @return true if the machine may have been suspended since then
     */
    public boolean mayHaveBeenSuspended(long monotonicNanos, long wallMillis) {
        long lead = lead(monotonicNanos, wallMillis);
        boolean suspected = lead - mLeadMillis > SUSPECTED_MILLIS;
        mLeadMillis = lead;
        return suspected;
    }

    private static long lead(long monotonicNanos, long wallMillis) {
        return wallMillis - TimeUnit.NANOSECONDS.toMillis(monotonicNanos);
    }
}
