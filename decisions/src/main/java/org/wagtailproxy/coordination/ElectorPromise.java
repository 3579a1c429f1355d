package org.wagtailproxy.coordination;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.leadership.InstanceName;

/**
 * Decides which coordinator this instance supports as an elector.
 *
 * <p>Support is a promise not to support another coordinator for as long as the supported one may
 * rely on it, so that two of them never have the support of a majority at the same time. A process
 * that has just started may have promised it in its former life. While the machine is suspended its
 * clock stands still, so that a promise lasts longer. Not thread-safe.
 */
public final class ElectorPromise {

    /** Longer than support is relied on, since the clocks of two instances differ in rate. */
    private static final long PROMISE_NANOS =
            ElectorSupport.VALID_NANOS + TimeUnit.MILLISECONDS.toNanos(50);

    private Option<InstanceName> mSupported = Option.none();
    private long mSupportedNanos;

    /**
     * Creates the promise of a process that may have supported any coordinator until now.
     *
     * @param startedNanos the monotonic time in nanoseconds
     */
    public ElectorPromise(long startedNanos) {
        mSupportedNanos = startedNanos;
    }

    /**
     * Supports a coordinator unless another one may still rely on the support of this instance.
     *
     * @param coordinator the coordinator, which this instance follows; not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if this instance supports it
     */
    public boolean support(InstanceName coordinator, long nowNanos) {
        boolean isBound =
                !mSupported.contains(coordinator) && nowNanos - mSupportedNanos <= PROMISE_NANOS;
        if (isBound) {
            return false;
        }
        mSupported = Option.some(coordinator);
        mSupportedNanos = nowNanos;
        return true;
    }
}
