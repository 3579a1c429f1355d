package org.wagtailproxy.scheduling;

import org.wagtailproxy.identity.Names;

/**
 * Hands out fencing tokens that exceed all that this instance has heard of.
 *
 * <p>The low digits of a token tell instances apart: backend servers accept equal tokens, so two
 * leaders that counted alike while they were cut off from each other would not fence each other.
 */
public final class FencingTokenSource {

    /** How far the counts of two tokens are apart. */
    static final long STEP = 1 << 12;

    private final long mInstanceMark;
    private long mHighest;

    private FencingTokenSource(long instanceMark) {
        mInstanceMark = instanceMark;
    }

    /**
     * Creates a source that has heard of nothing.
     *
     * @param owner names the instance, not null
     * @return the source, never null
     */
    public static FencingTokenSource of(String owner) {
        return new FencingTokenSource(Math.floorMod(Names.hash(owner), STEP));
    }

    /**
     * Takes over a token that was heard of.
     *
     * @param token the token
     */
    public synchronized void observe(long token) {
        mHighest = Math.max(mHighest, token);
    }

    /**
     * Takes over a count that earlier lives of instances did not exceed.
     *
     * @param count the count, such as a revision of the store
     */
    public void observeCount(long count) {
        observe(count * STEP);
    }

    /**
     * Returns the highest token handed out or heard of.
     *
     * @return the token
     */
    public synchronized long highest() {
        return mHighest;
    }

    /**
     * Hands out a higher token.
     *
     * @param above a token that is to be exceeded too
     * @return the token
     */
    public synchronized long next(long above) {
        mHighest = (Math.max(mHighest, above) / STEP + 1) * STEP + mInstanceMark;
        return mHighest;
    }
}
