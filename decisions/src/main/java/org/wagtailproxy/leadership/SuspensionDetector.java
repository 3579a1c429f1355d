package org.wagtailproxy.leadership;

import java.util.concurrent.TimeUnit;

/**
 * Detects that the machine may have been suspended, by comparing the monotonic clock with the time
 * of day.
 *
 * <p>The monotonic clock does not advance while a machine is suspended, but the time of day does.
 * By the monotonic clock, a leader that was suspended would therefore treat outdated state as
 * current, although another leader may have replaced it long ago. A forward step of the time of day
 * cannot be distinguished from a suspension; this is acceptable because callers react only by
 * confirming their state, which is cheap.
 *
 * <p>Not thread-safe; confined to one thread.
 */
public final class SuspensionDetector {

    /**
     * Advance of the time of day over the monotonic clock that counts as a suspension; several
     * probe intervals between peers.
     */
    public static final long SUSPENSION_THRESHOLD_MILLIS = 350;

    /** Time in which shorter advances add up; a slowly adjusted time of day advances less. */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private long mWallClockLeadMillis;
    private long mWindowStartNanos;

    /**
     * Creates a detector with the current readings of both clocks.
     *
     * @param monotonicNanos the monotonic time in nanoseconds
     * @param wallMillis the time of day in milliseconds since 1970
     */
    public SuspensionDetector(long monotonicNanos, long wallMillis) {
        startWindow(monotonicNanos, wallClockLeadMillis(monotonicNanos, wallMillis));
    }

    private void startWindow(long monotonicNanos, long wallClockLeadMillis) {
        mWindowStartNanos = monotonicNanos;
        mWallClockLeadMillis = wallClockLeadMillis;
    }

    /**
     * Compares the advance of both clocks lately.
     *
     * @param monotonicNanos the monotonic time in nanoseconds
     * @param wallMillis the time of day in milliseconds since 1970
     * @return true if the machine may have been suspended, not reported before
     */
    public boolean mayHaveBeenSuspended(long monotonicNanos, long wallMillis) {
        long lead = wallClockLeadMillis(monotonicNanos, wallMillis);
        boolean suspected = lead - mWallClockLeadMillis > SUSPENSION_THRESHOLD_MILLIS;
        boolean isWindowOver = monotonicNanos - mWindowStartNanos > WINDOW_NANOS;
        if (suspected || isWindowOver || lead < mWallClockLeadMillis) {
            startWindow(monotonicNanos, lead);
        }
        return suspected;
    }

    private static long wallClockLeadMillis(long monotonicNanos, long wallMillis) {
        return wallMillis - TimeUnit.NANOSECONDS.toMillis(monotonicNanos);
    }
}
