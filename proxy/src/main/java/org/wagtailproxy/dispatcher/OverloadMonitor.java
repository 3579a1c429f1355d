package org.wagtailproxy.dispatcher;

import java.util.concurrent.TimeUnit;
import org.wagtailproxy.leadership.OverloadDetector;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.serve.EventLoop;

/**
 * Tracks whether this instance cannot keep up with its work, since its ticks come late. Confined to
 * the event loop.
 */
final class OverloadMonitor {

    private final EventLoop mLoop;
    private final EventLog mLog;
    private final OverloadDetector mDetector;
    private boolean mOverloaded;
    private long mTickDueNanos = Long.MAX_VALUE;

    OverloadMonitor(EventLoop loop, EventLog log) {
        mLoop = loop;
        mLog = log;
        mDetector = new OverloadDetector(loop.nowNanos());
    }

    boolean isOverloaded() {
        return mOverloaded;
    }

    /** Records that this instance does another kind of work, whose code is still to be loaded. */
    void onWorkChanged() {
        mDetector.onWorkChanged(mLoop.nowNanos());
    }

    /** Records a tick. Returns true if the state has changed. */
    boolean tick() {
        long nowNanos = mLoop.nowNanos();
        boolean overloaded = mDetector.onTick(mTickDueNanos, nowNanos);
        mTickDueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(LeaderElection.TICK_MILLIS);
        if (overloaded == mOverloaded) {
            return false;
        }
        mOverloaded = overloaded;
        mLog.event(EventName.INSTANCE_OVERLOADED)
                .with(EventField.OUTCOME, overloaded ? "overloaded" : "recovered")
                .warn();
        return true;
    }
}
