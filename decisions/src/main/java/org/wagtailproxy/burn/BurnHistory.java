package org.wagtailproxy.burn;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Counts jobs that meet or miss their objective, per minute, over the longest window.
 *
 * <p>Thread-safe.
 */
public final class BurnHistory {

    private static final int MINUTE_BUCKETS = BurnWindow.SIX_HOURS.minutes() + 1;

    private final long[] mMinutes = new long[MINUTE_BUCKETS];
    private final long[] mMet = new long[MINUTE_BUCKETS];
    private final long[] mMissed = new long[MINUTE_BUCKETS];

    private BurnHistory() {
        Arrays.fill(mMinutes, Long.MIN_VALUE);
    }

    /**
     * Creates an empty history.
     *
     * @return the history, never null
     */
    public static BurnHistory of() {
        return new BurnHistory();
    }

    /**
     * Counts one job.
     *
     * @param met true if it met its objective
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void record(boolean met, long nowNanos) {
        long minute = TimeUnit.NANOSECONDS.toMinutes(nowNanos);
        int bucket = Math.floorMod(minute, MINUTE_BUCKETS);
        if (mMinutes[bucket] != minute) {
            mMinutes[bucket] = minute;
            mMet[bucket] = 0;
            mMissed[bucket] = 0;
        }
        if (met) {
            mMet[bucket]++;
        } else {
            mMissed[bucket]++;
        }
    }

    /**
     * Returns the sum of the counts over a window that ends now.
     *
     * @param window the window, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the counts, never null
     */
    public synchronized BurnCount count(BurnWindow window, long nowNanos) {
        long last = TimeUnit.NANOSECONDS.toMinutes(nowNanos);
        long first = last - window.minutes();
        long met = 0;
        long missed = 0;
        for (int bucket = 0; bucket < MINUTE_BUCKETS; bucket++) {
            if (mMinutes[bucket] > first && mMinutes[bucket] <= last) {
                met += mMet[bucket];
                missed += mMissed[bucket];
            }
        }
        return BurnCount.of(met, missed);
    }
}
