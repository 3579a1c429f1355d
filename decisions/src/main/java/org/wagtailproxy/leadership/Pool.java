package org.wagtailproxy.leadership;

import org.wagtailproxy.identity.DataCentre;

/**
 * Decides whether one leader serves all data centres or each data centre has its own.
 *
 * <p>Answers jobs of eight and more tasks on data centres of a dozen servers: one queue for all of
 * them finds room where parts of it would wait. A fleet that is larger than one leader can bear is
 * divided by data centre.
 */
public final class Pool {

    /** Instances up to which one leader serves all; each asks every other ten times a second. */
    private static final int MOST_POOLED = 16;

    /**
     * Instances from which the fleet is divided; a few more or less do not change it to and fro.
     */
    private static final int FEWEST_DIVIDED = 20;

    private boolean mSpans = true;

    /** Creates the decision for a fleet whose size is not known. */
    public Pool() {}

    /**
     * Decides for a number of instances.
     *
     * @param instances how many are registered
     * @return true if one leader serves all data centres
     */
    public boolean update(int instances) {
        if (instances >= FEWEST_DIVIDED) {
            mSpans = false;
        } else if (instances <= MOST_POOLED) {
            mSpans = true;
        }
        return mSpans;
    }

    /**
     * Returns the last decision.
     *
     * @return true if one leader serves all data centres
     */
    public boolean spansDataCentres() {
        return mSpans;
    }

    /**
     * Tests whether two data centres belong to one pool.
     *
     * @param one a data centre, not null
     * @param other a data centre, not null
     * @return true if their instances may follow the same leader
     */
    public boolean isSamePool(DataCentre one, DataCentre other) {
        return mSpans || one.equals(other);
    }
}
