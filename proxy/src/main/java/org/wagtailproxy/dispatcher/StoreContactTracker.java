package org.wagtailproxy.dispatcher;

import java.util.concurrent.TimeUnit;
import org.wagtailproxy.leadership.StoreContact;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.store.VersionedStore;

/**
 * Tracks whether the store answers this instance. Confined to the event loop.
 *
 * <p>Instances notice an outage of the whole store at different times. So that none of them takes
 * over from a leader that has lost the store without being able to coordinate the stored jobs, an
 * instance asks the store once another one has lost it, and confirms its contact by the answers. A
 * coordinator asks as well once the store does not confirm it, since a watch that waits hides a
 * loss.
 */
final class StoreContactTracker {

    /** Time without an answer after which another instance should coordinate the stored jobs. */
    private static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Pause between questions, which limits the calls to the store during an outage. */
    private static final long QUESTION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /**
     * Answers in a row that confirm the contact. They take longer than the instance that has lost
     * the store needs to notice and to report that it is back.
     */
    private static final int CONFIRMING_ANSWERS = 3;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private boolean mReachable;
    private long mChangedNanos;
    private long mAskedNanos;
    private long mAnsweredQuestionNanos = Long.MIN_VALUE;
    private int mAnswers;

    StoreContactTracker(EventLoop loop, VersionedStore store) {
        mLoop = loop;
        mStore = store.onNewConnections();
        mAskedNanos = loop.nowNanos() - QUESTION_INTERVAL_NANOS;
    }

    /** Records whether a call to the store was answered. */
    void update(boolean reachable) {
        if (reachable || mReachable) {
            mChangedNanos = mLoop.nowNanos();
        }
        mReachable = reachable;
        if (!reachable) {
            mAnswers = 0;
        }
    }

    /**
     * Asks the store if necessary, and returns the contact to it.
     *
     * @param isDoubted true if another instance has lost the store, or it does not confirm that
     *     this one coordinates the stored jobs
     */
    StoreContact check(boolean isDoubted) {
        if (!isDoubted) {
            mAnswers = 0;
        }
        if (!mReachable || isDoubted && mAnswers < CONFIRMING_ANSWERS) {
            askIfDue();
        }
        if (!mReachable && mLoop.nowNanos() - mChangedNanos > LOST_NANOS) {
            return StoreContact.LOST;
        }
        return mAnswers < CONFIRMING_ANSWERS ? StoreContact.ASSUMED : StoreContact.CONFIRMED;
    }

    private void askIfDue() {
        long nowNanos = mLoop.nowNanos();
        if (nowNanos - mAskedNanos < QUESTION_INTERVAL_NANOS) {
            return;
        }
        mAskedNanos = nowNanos;
        mStore.read(CoordinatorTerm.GUARD_KEY, "", page -> onResult(nowNanos, page.isRight()));
    }

    private void onResult(long askedNanos, boolean isAnswered) {
        if (askedNanos < mAnsweredQuestionNanos) {
            // A question that was asked later has been answered.
            return;
        }
        update(isAnswered);
        if (isAnswered) {
            mAnsweredQuestionNanos = askedNanos;
            mAnswers++;
        }
    }
}
