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
    private static final int UNRESPONSIVE_AFTER_UNANSWERED = 2;

    /** Time after a lost answer in which looks wait less; lost answers come in spells. */
    private static final long LOSSY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Wait of a look whose answer may get lost; an end is then heard of a look later. */
    private static final long LOSSY_WAIT_MILLIS = 50;

    /** Time beyond its wait after which an answer is likely to be lost. */
    private static final long HEDGE_MILLIS = 15;

    /** First pause between looks at a server that does not answer. */
    private static final long INITIAL_PAUSE_MILLIS = 60;

    /** Longest such pause; a server is used again that soon after it has come back. */
    private static final long MAX_PAUSE_MILLIS = 500;

    private final LeaseTiming mTiming;
    private long mLossyUntilNanos;
    private boolean mEverLostAnswer;
    private int mUnanswered;
    private boolean mUnresponsive;
    private boolean mPollRequested;
    private long mPauseMillis = INITIAL_PAUSE_MILLIS;

    ServerReachability(LeaseTiming timing) {
        mTiming = timing;
    }

    boolean isUnresponsive() {
        return mUnresponsive;
    }

    void onAnswer() {
        mUnresponsive = false;
        mUnanswered = 0;
        mPauseMillis = INITIAL_PAUSE_MILLIS;
    }

    /** A start got no answer; a look will tell whether it was carried out. */
    void onStartUnanswered(long nowNanos) {
        recordLostAnswer(nowNanos);
        mPollRequested = true;
    }

    /** A look got no answer; returns true if the server counts as silent. */
    boolean onPollUnanswered(long nowNanos) {
        recordLostAnswer(nowNanos);
        mUnanswered++;
        mPollRequested = true;
        mUnresponsive |= mUnanswered >= UNRESPONSIVE_AFTER_UNANSWERED;
        return mUnresponsive;
    }

    void onUnreachable() {
        mUnresponsive = true;
    }

    /** Returns the pause before the next look at a silent server; it grows with each look. */
    long nextPauseMillis() {
        long pause = mPauseMillis;
        mPauseMillis = Math.min(2 * mPauseMillis, MAX_PAUSE_MILLIS);
        return pause;
    }

    void requestPoll() {
        mPollRequested = true;
    }

    /** Returns whether a look is requested at once, and takes the wish back. */
    boolean takePollRequest() {
        boolean requested = mPollRequested;
        mPollRequested = false;
        return requested;
    }

    long pollWaitMillis(boolean busy, long nowNanos) {
        if (mUnresponsive) {
            return 0;
        }
        if (busy && isLossy(nowNanos)) {
            return LOSSY_WAIT_MILLIS;
        }
        return busy ? mTiming.busyWaitMillis() : mTiming.idleWaitMillis();
    }

    /** Tests whether a look that has had its wait should be followed by another one. */
    boolean isHedgeDue(long newestPollAgeMillis, long nowNanos) {
        return isLossy(nowNanos) && newestPollAgeMillis > LOSSY_WAIT_MILLIS + HEDGE_MILLIS;
    }

    private boolean isLossy(long nowNanos) {
        return mEverLostAnswer && nowNanos < mLossyUntilNanos;
    }

    private void recordLostAnswer(long nowNanos) {
        mEverLostAnswer = true;
        mLossyUntilNanos = nowNanos + LOSSY_NANOS;
    }
}
