package org.wagtailproxy.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Tracks the unanswered polls of a backend server and decides when another one is due. */
final class OutstandingPolls {

    /** Polls at a time: one waiting for an end, one renewing the lease, one requested at once. */
    private static final int MAX_POLLS = 3;

    /** Time after which the poll of a claim is repeated, as its answer may have been lost. */
    private static final long CLAIM_HEDGE_MILLIS = 35;

    /** Pause between polls while ends are being saved, which takes the store a few milliseconds. */
    private static final long UNSAVED_PAUSE_MILLIS = 40;

    /** Pause between polls that renew a lease. */
    private static final long RENEW_PAUSE_MILLIS = 100;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final Map<Long, Long> mSentNanosByNumber = new HashMap<>();
    private long mLastAnsweredNumber;
    private long mAnsweredNanos;
    private long mNextNumber = 1;

    /** Records a new poll and returns its number, which is higher than all before. */
    long open(long nowNanos) {
        long number = mNextNumber++;
        mSentNanosByNumber.put(number, nowNanos);
        return number;
    }

    /** Removes a poll and returns when it was sent, null if it is no longer tracked. */
    Long close(long number) {
        return mSentNanosByNumber.remove(number);
    }

    void clear() {
        mSentNanosByNumber.clear();
    }

    /** Records an answer. Returns true if no later poll has been answered yet. */
    boolean recordAnswer(long number, long nowNanos) {
        boolean newest = number > mLastAnsweredNumber;
        mLastAnsweredNumber = Math.max(mLastAnsweredNumber, number);
        mAnsweredNanos = nowNanos;
        return newest;
    }

    /** Checks whether the last answer is so recent that its ends may still be being saved. */
    boolean isAnsweredRecently(long nowNanos) {
        return nowNanos - mAnsweredNanos < UNSAVED_PAUSE_MILLIS * NANOS_PER_MILLI;
    }

    boolean isEmpty() {
        return mSentNanosByNumber.isEmpty();
    }

    boolean isFull() {
        return mSentNanosByNumber.size() >= MAX_POLLS;
    }

    /** Checks whether the poll of a claim is to be sent or repeated. */
    boolean isClaimPollDue(long nowNanos) {
        return isEmpty() || (!isFull() && newestAgeMillis(nowNanos) > CLAIM_HEDGE_MILLIS);
    }

    /**
     * Checks whether a server with runs is to be polled, because no poll is outstanding or the
     * lease has to be renewed.
     */
    boolean isBusyPollDue(boolean renewalDue, long nowNanos) {
        boolean hasFreeSlot = mSentNanosByNumber.size() < MAX_POLLS - 1;
        return isEmpty()
                || (renewalDue && hasFreeSlot && newestAgeMillis(nowNanos) > RENEW_PAUSE_MILLIS);
    }

    /** Returns the age of the newest outstanding poll in milliseconds. */
    long newestAgeMillis(long nowNanos) {
        long newestNanos = 0;
        for (long sent : mSentNanosByNumber.values()) {
            newestNanos = Math.max(newestNanos, sent);
        }
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - newestNanos);
    }
}
