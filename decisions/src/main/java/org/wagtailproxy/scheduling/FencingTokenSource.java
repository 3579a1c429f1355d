package org.wagtailproxy.scheduling;

import org.wagtailproxy.identity.Names;

/**
 * Generates fencing tokens that exceed all tokens which this instance has observed. Thread-safe.
 *
 * <p>A token consists of a count and, in its low bits, a mark of the instance. Backend servers
 * accept equal tokens, so without the mark two leaders on either side of a network partition that
 * reached the same count would not fence each other.
 */
public final class FencingTokenSource {

    /** Difference between the tokens of two successive counts. */
    static final long STEP = 1 << 12;

    private final long mInstanceMark;
    private long mHighest;

    private FencingTokenSource(long instanceMark) {
        mInstanceMark = instanceMark;
    }

    /**
     * Creates a source that has observed no token.
     *
     * @param owner the name of the instance, not null
     * @return the source, never null
     */
    public static FencingTokenSource of(String owner) {
        return new FencingTokenSource(Math.floorMod(Names.hash(owner), STEP));
    }

    /**
     * Records a token, which later tokens exceed.
     *
     * @param token a token of any instance
     */
    public synchronized void observe(long token) {
        mHighest = Math.max(mHighest, token);
    }

    /**
     * Records a count that no earlier incarnation of an instance exceeded; later tokens exceed it.
     *
     * @param count the count, such as a revision of the store
     */
    public void observeCount(long count) {
        observe(count * STEP);
    }

    /**
     * Returns the highest token that was generated or observed.
     *
     * @return the token
     */
    public synchronized long highest() {
        return mHighest;
    }

    /**
     * Generates a token above all earlier ones.
     *
     * @param above another token that the result must exceed
     * @return the token
     */
    public synchronized long next(long above) {
        mHighest = (Math.max(mHighest, above) / STEP + 1) * STEP + mInstanceMark;
        return mHighest;
    }
}
