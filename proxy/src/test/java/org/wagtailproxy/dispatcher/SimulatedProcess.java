package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.serve.EventLoop;

/** The event loop of one process, which can be paused and killed. */
final class SimulatedProcess implements EventLoop {

    final SimulatedNetwork.Host mHost;
    private final VirtualTime mTime;
    private final long mClockOffsetNanos;
    private long mPausedUntilNanos;
    private final List<Runnable> mKillListeners = new ArrayList<>();
    private boolean mAlive = true;
    private boolean mInLoop;

    SimulatedProcess(VirtualTime time, SimulatedNetwork.Host host) {
        mTime = time;
        mHost = host;
        mClockOffsetNanos = TimeUnit.SECONDS.toNanos(time.between(0, 5000));
    }

    boolean isAlive() {
        return mAlive;
    }

    /** Runs work once the process is killed. */
    void onKilled(Runnable work) {
        mKillListeners.add(work);
    }

    void kill() {
        mAlive = false;
        mKillListeners.forEach(Runnable::run);
    }

    void pause(long millis) {
        mPausedUntilNanos =
                Math.max(
                        mPausedUntilNanos,
                        mTime.nowNanos() + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Override
    public void schedule(long millis, Runnable work) {
        mTime.after(millis, () -> run(work));
    }

    @Override
    public void execute(Runnable work) {
        if (mInLoop) {
            work.run();
        } else {
            mTime.afterNanos(0, () -> run(work));
        }
    }

    private void run(Runnable work) {
        if (!mAlive) {
            return;
        }
        if (mTime.nowNanos() < mPausedUntilNanos) {
            mTime.at(mPausedUntilNanos, () -> run(work));
            return;
        }
        mInLoop = true;
        try {
            work.run();
        } catch (RuntimeException defect) {
            mTime.violation("defect in " + mHost.name() + ": " + defect);
            defect.printStackTrace();
        } finally {
            mInLoop = false;
        }
    }

    @Override
    public long nowNanos() {
        return mTime.nowNanos() + mClockOffsetNanos;
    }

    @Override
    public long wallClockMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mTime.nowNanos());
    }
}
