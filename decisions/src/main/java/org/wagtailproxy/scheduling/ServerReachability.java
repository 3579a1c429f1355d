package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Judges by answers that come and fail to come whether a backend server is in touch, and how long
 * the next look may wait.
 *
 * <p>Answers the load in which a third of a server's answers get lost: one lost answer makes looks
 * wait less for a while, so that ends are heard of soon; only two in a row make the server silent.
 */
final class ServerReachability {

    /** Looks in a row without an answer after which a server counts as silent. */
    private static final int SILENT_AFTER_UNANSWERED = 2;

    /** Time after a lost answer in which looks wait less; lost answers come in spells. */
    private static final long LOSSY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Wait of a look whose answer may get lost; an end is then heard of a look later. */
    private static final long LOSSY_WAIT_MILLIS = 50;

    /** Time beyond its wait after which an answer is likely to be lost. */
    private static final long HEDGE_MILLIS = 15;

    /** First pause between looks at a server that does not answer. */
    private static final long FIRST_PAUSE_MILLIS = 60;

    /** Longest such pause; a server is used again that soon after it has come back. */
    private static final long LONGEST_PAUSE_MILLIS = 500;

    private final LeaseTiming mTiming;
    private long mLossyUntilNanos;
    private boolean mEverLossy;
    private int mUnanswered;
    private boolean mSilent;
    private boolean mLookNow;
    private long mPauseMillis = FIRST_PAUSE_MILLIS;

    ServerReachability(LeaseTiming timing) {
        mTiming = timing;
    }

    boolean silent() {
        return mSilent;
    }

    void answered() {
        mSilent = false;
        mUnanswered = 0;
        mPauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** A start got no answer; a look will tell whether it was carried out. */
    void startUnanswered(long nowNanos) {
        lossy(nowNanos);
        mLookNow = true;
    }

    /** A look got no answer; returns true if the server counts as silent. */
    boolean lookUnanswered(long nowNanos) {
        lossy(nowNanos);
        mUnanswered++;
        mLookNow = true;
        mSilent |= mUnanswered >= SILENT_AFTER_UNANSWERED;
        return mSilent;
    }

    void unreachable() {
        mSilent = true;
    }

    /** Returns the pause before the next look at a silent server; it grows with each look. */
    long pauseMillis() {
        long pause = mPauseMillis;
        mPauseMillis = Math.min(2 * mPauseMillis, LONGEST_PAUSE_MILLIS);
        return pause;
    }

    void wantLook() {
        mLookNow = true;
    }

    /** Returns whether a look is wanted at once, and takes the wish back. */
    boolean takeLookNow() {
        boolean wanted = mLookNow;
        mLookNow = false;
        return wanted;
    }

    long waitMillis(boolean busy, long nowNanos) {
        if (mSilent) {
            return 0;
        }
        if (busy && losesAnswers(nowNanos)) {
            return LOSSY_WAIT_MILLIS;
        }
        return busy ? mTiming.busyWaitMillis() : mTiming.idleWaitMillis();
    }

    /** Tests whether a look that has had its wait should be followed by another one. */
    boolean hedgeDue(long newestLookMillis, long nowNanos) {
        return losesAnswers(nowNanos) && newestLookMillis > LOSSY_WAIT_MILLIS + HEDGE_MILLIS;
    }

    private boolean losesAnswers(long nowNanos) {
        return mEverLossy && nowNanos < mLossyUntilNanos;
    }

    private void lossy(long nowNanos) {
        mEverLossy = true;
        mLossyUntilNanos = nowNanos + LOSSY_NANOS;
    }
}
