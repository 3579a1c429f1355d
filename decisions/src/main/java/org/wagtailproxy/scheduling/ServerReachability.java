package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Decides from received and missing answers whether a backend server is unresponsive, and how long
 * the next poll may wait for an end.
 *
 * <p>Designed for a load in which a third of a server's answers get lost. After one lost answer
 * polls wait less for a while, so that ends are received soon. Only two unanswered polls in a row
 * make the server unresponsive.
 */
final class ServerReachability {

    /** Unanswered polls in a row after which a server counts as unresponsive. */
    private static final int UNRESPONSIVE_AFTER_UNANSWERED = 2;

    /** Time after a lost answer in which polls wait less, as lost answers come in bursts. */
    private static final long LOSSY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Wait of a poll whose answer may get lost; an end is then received one poll later. */
    private static final long LOSSY_WAIT_MILLIS = 50;

    /** Time beyond the wait of a poll after which its answer is likely to be lost. */
    private static final long HEDGE_MILLIS = 15;

    /** First pause between polls of a server that does not answer. */
    private static final long INITIAL_PAUSE_MILLIS = 60;

    /** Longest such pause, which bounds the time until a recovered server is used again. */
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

    /** Requests a poll, which shows whether a start command without an answer was executed. */
    void onStartUnanswered(long nowNanos) {
        recordLostAnswer(nowNanos);
        mPollRequested = true;
    }

    /** Records an unanswered poll. Returns true if the server counts as unresponsive. */
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

    /** Returns the pause before the next poll of an unresponsive server; doubles with each call. */
    long nextPauseMillis() {
        long pause = mPauseMillis;
        mPauseMillis = Math.min(2 * mPauseMillis, MAX_PAUSE_MILLIS);
        return pause;
    }

    void requestPoll() {
        mPollRequested = true;
    }

    /** Returns whether a poll is requested at once, and clears the request. */
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

    /** Checks whether a poll should be followed by another one, as its answer may be lost. */
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
