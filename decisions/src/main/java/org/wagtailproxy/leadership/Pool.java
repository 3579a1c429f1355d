package org.wagtailproxy.leadership;

import org.wagtailproxy.identity.DataCentre;

/**
 * Decides from the number of registered instances whether one leader serves all data centres or
 * each data centre has its own leader.
 *
 * <p>Designed for jobs of eight and more tasks on data centres of a dozen servers: one queue for
 * all data centres fits jobs that would wait in a queue for a single one. A fleet that is too large
 * for one leader is divided by data centre.
 */
public final class Pool {

    /**
     * Number of instances up to which one leader serves all data centres; each instance probes
     * every other ten times a second.
     */
    private static final int MAX_POOLED_INSTANCES = 16;

    /**
     * Number of instances from which the fleet is divided. The gap to {@link #MAX_POOLED_INSTANCES}
     * is a hysteresis, so that a few instances more or less do not change the decision back and
     * forth.
     */
    private static final int MIN_DIVIDED_INSTANCES = 20;

    private boolean mSpansDataCentres = true;

    /** Creates the decision for a fleet of unknown size: one leader serves all data centres. */
    public Pool() {}

    /**
     * Updates the decision for a number of instances.
     *
     * @param instances the number of registered instances
     * @return true if one leader serves all data centres
     */
    public boolean update(int instances) {
        if (instances >= MIN_DIVIDED_INSTANCES) {
            mSpansDataCentres = false;
        } else if (instances <= MAX_POOLED_INSTANCES) {
            mSpansDataCentres = true;
        }
        return mSpansDataCentres;
    }

    /**
     * Returns the last decision.
     *
     * @return true if one leader serves all data centres
     */
    public boolean spansDataCentres() {
        return mSpansDataCentres;
    }

    /**
     * Checks whether two data centres belong to the same pool.
     *
     * @param one a data centre, not null
     * @param other a data centre, not null
     * @return true if their instances may follow the same leader
     */
    public boolean isSamePool(DataCentre one, DataCentre other) {
        return mSpansDataCentres || one.equals(other);
    }
}
