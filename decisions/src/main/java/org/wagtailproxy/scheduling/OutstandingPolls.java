package org.wagtailproxy.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The looks at a backend server that have no answer yet. */
final class OutstandingPolls {

    /** Looks at a time: one that waits, one that renews the lease, one that is wanted at once. */
    private static final int MAX_POLLS = 3;

    /** Time after which the look of a claim is followed by another one; its answer may be lost. */
    private static final long CLAIM_HEDGE_MILLIS = 35;

    /** Pause between looks while ends are being saved, which takes the store a few milliseconds. */
    private static final long UNSAVED_PAUSE_MILLIS = 40;

    /** Pause between looks that renew a lease. */
    private static final long RENEW_PAUSE_MILLIS = 100;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final Map<Long, Long> mSentNanosByNumber = new HashMap<>();
    private long mLastAnsweredNumber;
    private long mAnsweredNanos;
    private long mNextNumber = 1;

    /** Opens a look and returns its number, which is higher than all before. */
    long open(long nowNanos) {
        long number = mNextNumber++;
        mSentNanosByNumber.put(number, nowNanos);
        return number;
    }

    /** Closes a look and returns when it was sent, null if it was given up before. */
    Long close(long number) {
        return mSentNanosByNumber.remove(number);
    }

    void clear() {
        mSentNanosByNumber.clear();
    }

    /** Takes note of an answer; returns true if it was not overtaken by that to a later look. */
    boolean recordAnswer(long number, long nowNanos) {
        boolean newest = number > mLastAnsweredNumber;
        mLastAnsweredNumber = Math.max(mLastAnsweredNumber, number);
        mAnsweredNanos = nowNanos;
        return newest;
    }

    /** Tests whether the last answer is so new that ends which it listed are still being saved. */
    boolean isAnsweredRecently(long nowNanos) {
        return nowNanos - mAnsweredNanos < UNSAVED_PAUSE_MILLIS * MILLI;
    }

    boolean isEmpty() {
        return mSentNanosByNumber.isEmpty();
    }

    boolean isFull() {
        return mSentNanosByNumber.size() >= MAX_POLLS;
    }

    /** Tests whether the look of a claim is to be sent, or sent again. */
    boolean isClaimPollDue(long nowNanos) {
        return isEmpty() || (!isFull() && newestAgeMillis(nowNanos) > CLAIM_HEDGE_MILLIS);
    }

    /** Tests whether a server with runs is to be looked at, for no look is open or to renew. */
    boolean isBusyPollDue(boolean renewalDue, long nowNanos) {
        boolean hasFreeSlot = mSentNanosByNumber.size() < MAX_POLLS - 1;
        return isEmpty()
                || (renewalDue && hasFreeSlot && newestAgeMillis(nowNanos) > RENEW_PAUSE_MILLIS);
    }

    /** Returns the age of the look that was sent last. */
    long newestAgeMillis(long nowNanos) {
        long newestNanos = 0;
        for (long sent : mSentNanosByNumber.values()) {
            newestNanos = Math.max(newestNanos, sent);
        }
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - newestNanos);
    }
}
