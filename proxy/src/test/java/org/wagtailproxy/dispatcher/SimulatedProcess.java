package org.wagtailproxy.dispatcher;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.serve.EventLoop;

/** The event loop of one process, which can be paused and killed. */
final class SimulatedProcess implements EventLoop {

    final SimulatedNetwork.Host mHost;
    private final VirtualTime mTime;
    private final long mClockOffsetNanos;
    private long mPausedUntilNanos;

    /** Until when an event takes time, how much at most, and when the present one ends. */
    private long mSlowUntilNanos;

    private long mMaxEventMicros;
    private long mBusyUntilNanos;

    /** Time by which suspensions have put the monotonic clock back. */
    private long mSuspendedNanos;

    private long mWallClockStepMillis;
    private long mSuspensionStartNanos;
    private long mSuspensionEndNanos;
    private final List<Runnable> mKillListeners = new ArrayList<>();
    private final Deque<Runnable> mHeld = new ArrayDeque<>();
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

    /**
     * Pauses the process without the monotonic clock, as a suspended machine does. Prolongs a
     * suspension that goes on.
     */
    void suspend(long millis) {
        long endNanos = mTime.nowNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        lostNanos();
        if (mSuspensionEndNanos == 0) {
            mSuspensionStartNanos = mTime.nowNanos();
        }
        mSuspensionEndNanos = Math.max(mSuspensionEndNanos, endNanos);
        mPausedUntilNanos = Math.max(mPausedUntilNanos, mSuspensionEndNanos);
        mTime.at(mSuspensionEndNanos, () -> {});
    }

    /** Lets each event take time for a while, in which what arrives waits in order. */
    void slow(long millis, long maxEventMicros) {
        mSlowUntilNanos = mTime.nowNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        mMaxEventMicros = maxEventMicros;
    }

    private long freeNanos() {
        return Math.max(mPausedUntilNanos, mBusyUntilNanos);
    }

    boolean isPaused() {
        return mTime.nowNanos() < mPausedUntilNanos;
    }

    void stepTimeOfDay(long millis) {
        mWallClockStepMillis += millis;
    }

    private long lostNanos() {
        if (mSuspensionEndNanos > 0 && mTime.nowNanos() >= mSuspensionEndNanos) {
            mSuspendedNanos += mSuspensionEndNanos - mSuspensionStartNanos;
            mSuspensionEndNanos = 0;
        }
        return mSuspendedNanos
                + (mSuspensionEndNanos > 0 ? mTime.nowNanos() - mSuspensionStartNanos : 0);
    }

    @Override
    public void schedule(long millis, Runnable work) {
        scheduleAt(nowNanos() + TimeUnit.MILLISECONDS.toNanos(millis), work);
    }

    private void scheduleAt(long dueNanos, Runnable work) {
        mTime.afterNanos(
                Math.max(0, dueNanos - nowNanos()),
                () -> {
                    if (mAlive && mTime.nowNanos() < mPausedUntilNanos) {
                        mTime.at(mPausedUntilNanos, () -> scheduleAt(dueNanos, work));
                    } else if (mAlive && nowNanos() < dueNanos) {
                        scheduleAt(dueNanos, work);
                    } else {
                        run(work);
                    }
                });
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
        boolean isOccupied = mTime.nowNanos() < freeNanos();
        if (isOccupied || !mHeld.isEmpty()) {
            mHeld.add(work);
            if (mHeld.size() == 1) {
                mTime.at(freeNanos(), this::runHeld);
            }
            return;
        }
        runNow(work);
    }

    /** Runs the work that has waited in the order in which it has arrived. */
    private void runHeld() {
        if (mTime.nowNanos() < freeNanos()) {
            mTime.at(freeNanos(), this::runHeld);
            return;
        }
        while (mAlive && !mHeld.isEmpty() && mTime.nowNanos() >= freeNanos()) {
            runNow(mHeld.peek());
            mHeld.remove();
        }
        if (mAlive && !mHeld.isEmpty()) {
            mTime.at(freeNanos(), this::runHeld);
        }
    }

    private void runNow(Runnable work) {
        mInLoop = true;
        try {
            work.run();
        } catch (RuntimeException defect) {
            mTime.violation("defect in " + mHost.name() + ": " + defect);
            defect.printStackTrace();
        } finally {
            mInLoop = false;
        }
        if (mTime.nowNanos() < mSlowUntilNanos) {
            mBusyUntilNanos = mTime.nowNanos() + 1000 * mTime.between(200, mMaxEventMicros);
        }
    }

    @Override
    public long nowNanos() {
        return mTime.nowNanos() + mClockOffsetNanos - lostNanos();
    }

    @Override
    public long wallClockMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mTime.nowNanos()) + mWallClockStepMillis;
    }
}
