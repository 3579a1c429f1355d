package org.wagtailproxy.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The looks at a backend server that have no answer yet. */
final class OutstandingPolls {

    /** Looks at a time: one that waits, one that renews the lease, one that is wanted at once. */
    private static final int MOST_LOOKS = 3;

    /** Time after which the look of a claim is followed by another one; its answer may be lost. */
    private static final long CLAIM_HEDGE_MILLIS = 35;

    /** Pause between looks while ends are being saved, which takes the store a few milliseconds. */
    private static final long UNSAVED_PAUSE_MILLIS = 40;

    /** Pause between looks that renew a lease. */
    private static final long RENEW_PAUSE_MILLIS = 100;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final Map<Long, Long> mSentNanos = new HashMap<>();
    private long mLastReported;
    private long mReportedNanos;
    private long mNext = 1;

    /** Opens a look and returns its number, which is higher than all before. */
    long open(long nowNanos) {
        long number = mNext++;
        mSentNanos.put(number, nowNanos);
        return number;
    }

    /** Closes a look and returns when it was sent, null if it was given up before. */
    Long close(long number) {
        return mSentNanos.remove(number);
    }

    void clear() {
        mSentNanos.clear();
    }

    /** Takes note of an answer; returns true if it was not overtaken by that to a later look. */
    boolean reported(long number, long nowNanos) {
        boolean newest = number > mLastReported;
        mLastReported = Math.max(mLastReported, number);
        mReportedNanos = nowNanos;
        return newest;
    }

    /** Tests whether the last answer is so new that ends which it listed are still being saved. */
    boolean reportedLately(long nowNanos) {
        return nowNanos - mReportedNanos < UNSAVED_PAUSE_MILLIS * MILLI;
    }

    boolean isEmpty() {
        return mSentNanos.isEmpty();
    }

    boolean full() {
        return mSentNanos.size() >= MOST_LOOKS;
    }

    /** Tests whether the look of a claim is to be sent, or sent again. */
    boolean claimDue(long nowNanos) {
        return isEmpty() || (!full() && newestMillis(nowNanos) > CLAIM_HEDGE_MILLIS);
    }

    /** Tests whether a server with runs is to be looked at, for no look is open or to renew. */
    boolean due(boolean renewalDue, long nowNanos) {
        boolean place = mSentNanos.size() < MOST_LOOKS - 1;
        return isEmpty() || (renewalDue && place && newestMillis(nowNanos) > RENEW_PAUSE_MILLIS);
    }

    /** Returns the age of the look that was sent last. */
    long newestMillis(long nowNanos) {
        long newest = 0;
        for (long sent : mSentNanos.values()) {
            newest = Math.max(newest, sent);
        }
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - newest);
    }
}
