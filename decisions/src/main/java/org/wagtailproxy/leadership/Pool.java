package org.wagtailproxy.leadership;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.workload.DataCentreScope;

/**
 * Decides from the number of instances, and from whether there may be stored jobs, whether one
 * leader serves all data centres or each data centre has its own leader.
 *
 * <p>Designed for jobs of eight and more tasks on data centres of a dozen servers: one queue for
 * all data centres fits jobs that would wait in a queue for a single one. A fleet that is too large
 * for one leader is divided by data centre. A change of the decision moves jobs between leaders
 * that control different backend servers, and registrations lapse together when the store loses
 * them, so a divided fleet is merged only after it has been small for a long time.
 *
 * <p>Stored jobs have one coordinator, whose tasks may run on all backend servers, so a fleet is
 * not divided, and a divided one is merged at once, while there may be stored jobs. Not
 * thread-safe; confined to one thread.
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

    /**
     * Time for which a divided fleet has to be small before it is merged; far above an outage of
     * the store and the time in which all instances register again.
     */
    private static final long MIN_SMALL_NANOS = TimeUnit.SECONDS.toNanos(30);

    private boolean mSpansDataCentres = true;
    private boolean mLarge;
    private boolean mMergePending;
    private long mSmallSinceNanos;

    /** Creates the decision for a fleet of unknown size: one leader serves all data centres. */
    public Pool() {}

    /**
     * Updates the decision for a number of instances.
     *
     * @param instances the number of instances that are registered or answer probes
     * @param storedJobsPossible false only if it is known that there are no stored jobs
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the decision has changed
     */
    public boolean update(int instances, boolean storedJobsPossible, long nowNanos) {
        boolean spannedDataCentres = mSpansDataCentres;
        mLarge = isDivisible(instances) || (mLarge && instances > MAX_POOLED_INSTANCES);
        if (storedJobsPossible) {
            mSpansDataCentres = true;
        } else if (isDivisible(instances)) {
            mSpansDataCentres = false;
        }
        if (mSpansDataCentres || instances > MAX_POOLED_INSTANCES) {
            mMergePending = false;
        } else if (!mMergePending) {
            mMergePending = true;
            mSmallSinceNanos = nowNanos;
        } else if (nowNanos - mSmallSinceNanos >= MIN_SMALL_NANOS) {
            mMergePending = false;
            mSpansDataCentres = true;
        }
        return mSpansDataCentres != spannedDataCentres;
    }

    /**
     * Checks whether a fleet is divided, if there are no stored jobs, because of its size alone.
     *
     * @param instances the number of instances
     * @return true if the size requires to know whether there may be stored jobs
     */
    public static boolean isDivisible(int instances) {
        return instances >= MIN_DIVIDED_INSTANCES;
    }

    /**
     * Checks whether the decision may change without a change of the number of instances.
     *
     * @return true if a divided fleet is small, but has not been so for long enough to be merged
     */
    public boolean isMergePending() {
        return mMergePending;
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
     * Checks whether the fleet has so many instances that an instance cannot probe all others
     * frequently, and that small instances should not lead.
     *
     * @return true if the fleet is large or divided
     */
    public boolean isLarge() {
        return mLarge || !mSpansDataCentres;
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

    /**
     * Returns the data centres whose backend servers the leader of a data centre may use.
     *
     * @param dataCentre the data centre of the leader, not null
     * @return all data centres if one leader serves them, otherwise only the given one; never null
     */
    public DataCentreScope scope(DataCentre dataCentre) {
        return mSpansDataCentres ? DataCentreScope.ALL : DataCentreScope.of(Set.of(dataCentre));
    }
}
