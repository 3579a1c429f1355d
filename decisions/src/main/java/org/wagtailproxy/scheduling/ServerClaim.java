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
    private static final long YIELD_MILLIS = 1500;

    /** Pause before a claim is raised after another instance exceeded it. */
    private static final long RECLAIM_MILLIS = 300;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final FencingTokenSource mTokens;
    private ClaimMode mClaim = ClaimMode.NONE;
    private Phase mPhase = Phase.UNCLAIMED;
    private long mToken;
    private long mTokenStep = FencingTokenSource.STEP;
    private long mNotBeforeNanos;
    private long mClaimedNanos;

    ServerClaim(FencingTokenSource tokens) {
        mTokens = tokens;
    }

    Phase phase() {
        return mPhase;
    }

    boolean held() {
        return mPhase == Phase.HELD;
    }

    long token() {
        return mToken;
    }

    /** Tests whether nothing is claimed. */
    boolean unwanted() {
        return mClaim == ClaimMode.NONE;
    }

    /** Sets how strong the claim is. */
    void want(ClaimMode claim) {
        if (claim == ClaimMode.FIRST && mClaim != ClaimMode.FIRST) {
            mNotBeforeNanos = 0;
            if (mPhase == Phase.PEEKING) {
                // What runs there does not matter any more; the server is claimed at once.
                mPhase = Phase.UNCLAIMED;
            }
        }
        mClaim = claim;
    }

    /** Tests whether the server is to be left alone for now. */
    boolean pauses(long nowNanos) {
        return nowNanos < mNotBeforeNanos;
    }

    /** Leaves the server alone for a time. */
    void pause(long millis, long nowNanos) {
        mNotBeforeNanos = nowNanos + millis * MILLI;
    }

    /** Leaves the server alone until a claim may be raised again. */
    void pauseClaim(long nowNanos) {
        pause(RECLAIM_MILLIS, nowNanos);
    }

    /** Tests whether this instance has begun to claim the server first within a time. */
    boolean claimsSince(long millis, long nowNanos) {
        return mClaim == ClaimMode.FIRST
                && mPhase == Phase.CLAIMING
                && nowNanos - mClaimedNanos < millis * MILLI;
    }

    /** Begins the claim; a look with the token follows. */
    void begin(long nowNanos) {
        mClaimedNanos = nowNanos;
        if (mClaim == ClaimMode.FIRST) {
            raise();
        } else {
            mToken = Math.max(mToken, mTokens.highest());
            mPhase = Phase.PEEKING;
        }
    }

    /** Claims with a token above all that are known. */
    void raise() {
        mToken = mTokens.next(mToken);
        mPhase = Phase.CLAIMING;
    }

    /** The server has accepted the token. */
    void accepted() {
        mPhase = Phase.HELD;
        mTokenStep = FencingTokenSource.STEP;
    }

    void release() {
        mPhase = Phase.UNCLAIMED;
    }

    /** The server has seen a higher token. Returns true if the claim is raised again at once. */
    boolean exceeded(long nowNanos) {
        boolean raises = mPhase == Phase.CLAIMING && mClaim == ClaimMode.FIRST;
        mPhase = Phase.UNCLAIMED;
        mToken += mTokenStep;
        if (raises) {
            mTokenStep *= 2;
            mNotBeforeNanos = nowNanos;
            return true;
        }
        mTokenStep = FencingTokenSource.STEP;
        pause(mClaim == ClaimMode.FIRST ? RECLAIM_MILLIS : YIELD_MILLIS, nowNanos);
        return false;
    }
}
