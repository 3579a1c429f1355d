package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Where the claim to one backend server stands, and with which fencing token.
 *
 * <p>A first claimant raises the token until the server accepts it; any other one looks with the
 * highest token that it knows of, and claims only what is unused.
 */
final class ServerClaim {

    /** The stages of a claim. */
    enum Phase {
        UNCLAIMED,
        PEEKING,
        CLAIMING,
        HELD
    }

    /** Pause before a claim is tried again that another instance had priority for. */
    private static final long YIELD_PAUSE_MILLIS = 1500;

    /** Pause before a claim is raised after another instance exceeded it. */
    private static final long RECLAIM_PAUSE_MILLIS = 300;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

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

    /** Tests whether nothing is claimed. */
    boolean isModeNone() {
        return mMode == ClaimMode.NONE;
    }

    /** Sets how strong the claim is. */
    void updateMode(ClaimMode mode) {
        if (mode == ClaimMode.FIRST && mMode != ClaimMode.FIRST) {
            mPausedUntilNanos = 0;
            if (mPhase == Phase.PEEKING) {
                // What runs there does not matter any more; the server is claimed at once.
                mPhase = Phase.UNCLAIMED;
            }
        }
        mMode = mode;
    }

    /** Tests whether the server is to be left alone for now. */
    boolean isPaused(long nowNanos) {
        return nowNanos < mPausedUntilNanos;
    }

    /** Leaves the server alone for a time. */
    void pause(long millis, long nowNanos) {
        mPausedUntilNanos = nowNanos + millis * MILLI;
    }

    /** Leaves the server alone until a claim may be raised again. */
    void pauseBeforeReclaim(long nowNanos) {
        pause(RECLAIM_PAUSE_MILLIS, nowNanos);
    }

    /** Tests whether this instance has begun to claim the server first within a time. */
    boolean isClaimingWithin(long millis, long nowNanos) {
        return mMode == ClaimMode.FIRST
                && mPhase == Phase.CLAIMING
                && nowNanos - mClaimStartNanos < millis * MILLI;
    }

    /** Begins the claim; a look with the token follows. */
    void begin(long nowNanos) {
        mClaimStartNanos = nowNanos;
        if (mMode == ClaimMode.FIRST) {
            raiseToken();
        } else {
            mToken = Math.max(mToken, mTokens.highest());
            mPhase = Phase.PEEKING;
        }
    }

    /** Claims with a token above all that are known. */
    void raiseToken() {
        mToken = mTokens.next(mToken);
        mPhase = Phase.CLAIMING;
    }

    /** The server has accepted the token. */
    void onTokenAccepted() {
        mPhase = Phase.HELD;
        mTokenIncrement = FencingTokenSource.STEP;
    }

    void release() {
        mPhase = Phase.UNCLAIMED;
    }

    /** The server has seen a higher token. Returns true if the claim is raised again at once. */
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
