package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Tracks the state of this instance's claim to one backend server and its fencing token.
 *
 * <p>In the mode {@link ClaimMode#FIRST} the token is raised until the server accepts it. In the
 * mode {@link ClaimMode#IF_UNUSED} the server is polled with the highest known token, and is
 * claimed only if it reports no runs. Such a poll already fences the instance that holds the server
 * with a lower token, so a server that was unresponsive is first polled with the lowest token, to
 * learn whether it answers again.
 */
final class ServerClaim {

    /** The phases of a claim. */
    enum Phase {
        UNCLAIMED,
        KNOCKING,
        PEEKING,
        CLAIMING,
        HELD
    }

    /** The token of a poll that fences no instance. */
    static final long LOWEST_TOKEN = 0;

    /** Pause before a claim is retried after an instance with priority has raised the token. */
    private static final long YIELD_PAUSE_MILLIS = 1500;

    /** Pause before a claim with priority is retried, for example after a higher token. */
    private static final long RECLAIM_PAUSE_MILLIS = 300;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final FencingTokenSource mTokens;
    private ClaimMode mMode = ClaimMode.NONE;
    private Phase mPhase = Phase.UNCLAIMED;
    private long mToken;
    private long mTokenIncrement = FencingTokenSource.STEP;
    private long mPausedUntilNanos;
    private long mClaimStartNanos;

    ServerClaim(FencingTokenSource tokens) {
        mTokens = tokens;
    }

    Phase phase() {
        return mPhase;
    }

    boolean isHeld() {
        return mPhase == Phase.HELD;
    }

    long token() {
        return mToken;
    }

    boolean isModeNone() {
        return mMode == ClaimMode.NONE;
    }

    /** Updates the claim mode. A change to FIRST ends a pause and a phase of peeking. */
    void updateMode(ClaimMode mode) {
        if (mode == ClaimMode.FIRST && mMode != ClaimMode.FIRST) {
            mPausedUntilNanos = 0;
            if (mPhase == Phase.PEEKING || mPhase == Phase.KNOCKING) {
                // The server is claimed at once, whatever runs on it.
                mPhase = Phase.UNCLAIMED;
            }
        }
        mMode = mode;
    }

    /** Checks whether no poll or claim may be sent yet. */
    boolean isPaused(long nowNanos) {
        return nowNanos < mPausedUntilNanos;
    }

    /** Suspends polls and claims for a time. */
    void pause(long millis, long nowNanos) {
        mPausedUntilNanos = nowNanos + millis * NANOS_PER_MILLI;
    }

    /** Suspends polls and claims until the claim may be retried. */
    void pauseBeforeReclaim(long nowNanos) {
        pause(RECLAIM_PAUSE_MILLIS, nowNanos);
    }

    /** Checks whether a claim in the mode FIRST is in progress and began within the given time. */
    boolean isClaimingWithin(long millis, long nowNanos) {
        return mMode == ClaimMode.FIRST
                && mPhase == Phase.CLAIMING
                && nowNanos - mClaimStartNanos < millis * NANOS_PER_MILLI;
    }

    /**
     * Begins the claim. The caller must then send a poll with the token.
     *
     * @param unresponsive true if the server did not answer lately
     */
    void begin(boolean unresponsive, long nowNanos) {
        mClaimStartNanos = nowNanos;
        if (mMode == ClaimMode.FIRST) {
            raiseToken();
        } else if (unresponsive) {
            mPhase = Phase.KNOCKING;
        } else {
            mToken = Math.max(mToken, mTokens.highest());
            mPhase = Phase.PEEKING;
        }
    }

    /** Records that the server does not answer; it is not polled with a high token any more. */
    void onUnresponsive() {
        if (mPhase == Phase.PEEKING) {
            mPhase = Phase.UNCLAIMED;
        }
    }

    /** Enters the claiming phase with a token above all known ones. */
    void raiseToken() {
        mToken = mTokens.next(mToken);
        mPhase = Phase.CLAIMING;
    }

    /** Records that the server has accepted the token. */
    void onTokenAccepted() {
        mPhase = Phase.HELD;
        mTokenIncrement = FencingTokenSource.STEP;
    }

    void release() {
        mPhase = Phase.UNCLAIMED;
    }

    /**
     * Records that the server has accepted a higher token of another instance.
     *
     * @return true if the claim is retried at once with a higher token
     */
    boolean onTokenExceeded(long nowNanos) {
        boolean raisesAgain = mPhase == Phase.CLAIMING && mMode == ClaimMode.FIRST;
        mPhase = Phase.UNCLAIMED;
        mToken += mTokenIncrement;
        if (raisesAgain) {
            mTokenIncrement *= 2;
            mPausedUntilNanos = nowNanos;
            return true;
        }
        mTokenIncrement = FencingTokenSource.STEP;
        pause(mMode == ClaimMode.FIRST ? RECLAIM_PAUSE_MILLIS : YIELD_PAUSE_MILLIS, nowNanos);
        return false;
    }
}
