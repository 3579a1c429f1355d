package org.wagtailproxy.leadership;

import java.util.concurrent.TimeUnit;

/**
 * Decides from the delay of a periodic tick whether this instance can keep up with its work.
 *
 * <p>Designed for a leader whose machine becomes several times slower during a burst: its events
 * queue up, and jobs wait in the queue until their callers give up, although other instances could
 * lead. A single long delay, as after a pause of the process, is no overload. The state ends after
 * a time without late ticks, which grows with each overload: an instance that no longer leads is
 * not late, however slow it is. Not thread-safe; confined to one thread.
 */
public final class OverloadDetector {

    /** Delay from which a tick is late; a job that waits this long in a queue misses its aim. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Late ticks in a row that show an overload. A pause of the process delays only one. */
    private static final int OVERLOAD_TICKS = 2;

    /** Time without a late tick that ends the first overload. */
    private static final long MIN_RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Longest such time. */
    private static final long MAX_RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(160);

    /** Time after the start, or a change of leader, in which code is loaded for the first time. */
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(3);

    private long mWarmUntilNanos;
    private int mLateTicks;
    private boolean mOverloaded;
    private long mLastLateNanos;
    private long mRecoveryNanos = MIN_RECOVERY_NANOS;

    /**
     * Creates a detector for an instance that keeps up.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public OverloadDetector(long nowNanos) {
        onWorkChanged(nowNanos);
    }

    /**
     * Records that the instance does another kind of work from now on. Late ticks do not count
     * until it has had time to load the code for it.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onWorkChanged(long nowNanos) {
        mWarmUntilNanos = nowNanos + WARM_UP_NANOS;
    }

    /**
     * Records a tick.
     *
     * @param dueNanos the monotonic time at which the tick was due, in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the instance is overloaded
     */
    public boolean onTick(long dueNanos, long nowNanos) {
        if (nowNanos - dueNanos >= LATE_NANOS && nowNanos >= mWarmUntilNanos) {
            mLateTicks++;
            mLastLateNanos = nowNanos;
        } else {
            mLateTicks = 0;
        }
        if (!mOverloaded && mLateTicks >= OVERLOAD_TICKS) {
            mOverloaded = true;
        } else if (mOverloaded && nowNanos - mLastLateNanos > mRecoveryNanos) {
            mOverloaded = false;
            mRecoveryNanos = Math.min(2 * mRecoveryNanos, MAX_RECOVERY_NANOS);
        }
        return mOverloaded;
    }
}
