package org.wagtailproxy.dispatcher;

import java.util.concurrent.TimeUnit;
import org.wagtailproxy.serve.EventLoop;

/** Tracks for how long the store has not answered. Confined to the event loop. */
final class StoreReachability {

    /** Time without an answer after which another instance should coordinate the stored jobs. */
    private static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final EventLoop mLoop;
    private boolean mReachable;
    private long mChangedNanos;

    StoreReachability(EventLoop loop) {
        mLoop = loop;
    }

    void update(boolean reachable) {
        if (reachable || mReachable) {
            mChangedNanos = mLoop.nowNanos();
        }
        mReachable = reachable;
    }

    boolean isLost() {
        return !mReachable && mLoop.nowNanos() - mChangedNanos > LOST_NANOS;
    }
}
