package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.leadership.Pool;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.WorkOutcome;

/**
 * Tracks which data centres belong to the pool of this instance, from the registered instances and
 * from whether there may be stored jobs. Confined to the event loop.
 */
final class PoolMembership {

    /** Outcome of a job that comes while the instances are held back; other instances serve. */
    static final WorkOutcome POOL_UNKNOWN = WorkOutcome.refused("pool not known", 1000);

    /** Notified of the instances of the pool. */
    interface Listener {

        /** The fleet has been divided into a pool for each data centre, or merged. */
        void onPoolChanged(boolean spansDataCentres, int instances, boolean storedJobsPossible);

        /** The registered instances of the pool, or those of other pools, may have changed. */
        void onInstancesChanged(List<InstanceRecord> pool, List<InstanceRecord> others);
    }

    private final DataCentre mDataCentre;
    private final EventLoop mLoop;
    private final Supplier<Set<InstanceName>> mReachableInstances;
    private final BooleanSupplier mStoredJobsPossible;
    private final Listener mListener;
    private final Pool mPool = new Pool();
    private Collection<InstanceRecord> mInstances = List.of();
    private boolean mInstancesHeldBack;
    private boolean mGuardRead;

    /** Whether stored jobs were possible at the last update of the pool. */
    private boolean mStoredJobsWerePossible = true;

    /**
     * Creates a membership of a pool that spans all data centres.
     *
     * @param dataCentre the data centre of this instance
     * @param reachableInstances returns the instances that answer probes, as a set that may be
     *     changed
     * @param storedJobsPossible returns false only if it is known that there are no stored jobs
     */
    PoolMembership(
            DataCentre dataCentre,
            EventLoop loop,
            Supplier<Set<InstanceName>> reachableInstances,
            BooleanSupplier storedJobsPossible,
            Listener listener) {
        mDataCentre = dataCentre;
        mLoop = loop;
        mReachableInstances = reachableInstances;
        mStoredJobsPossible = storedJobsPossible;
        mListener = listener;
    }

    /**
     * Updates the registered instances. Those of a large fleet are applied only after the guard of
     * the stored jobs has been read, so that an instance that starts does not take a divided fleet
     * for one pool.
     */
    void updateInstances(Collection<InstanceRecord> instances) {
        mInstances = List.copyOf(instances);
        mInstancesHeldBack = !mGuardRead && Pool.isDivisible(instances.size());
        if (!mInstancesHeldBack) {
            updatePool();
            applyInstances();
        }
    }

    /** Records that the guard of the stored jobs has been read. */
    void onGuardRead() {
        mGuardRead = true;
        if (updatePool() || mInstancesHeldBack) {
            mInstancesHeldBack = false;
            applyInstances();
        }
    }

    /** Checks whether registered instances are not applied yet, since the guard is not read. */
    boolean areInstancesHeldBack() {
        return mInstancesHeldBack;
    }

    void tick() {
        boolean isUpdateDue =
                mPool.isMergePending()
                        || mStoredJobsWerePossible != mStoredJobsPossible.getAsBoolean();
        if (!mInstancesHeldBack && isUpdateDue && updatePool()) {
            applyInstances();
        }
    }

    boolean spansDataCentres() {
        return mPool.spansDataCentres();
    }

    boolean isLargeFleet() {
        return mPool.isLarge();
    }

    boolean isInPool(DataCentre dataCentre) {
        return mPool.isSamePool(mDataCentre, dataCentre);
    }

    DataCentreScope scope() {
        return mPool.scope(mDataCentre);
    }

    /** Decides anew whether the fleet is divided. Returns true if the decision has changed. */
    private boolean updatePool() {
        Set<InstanceName> names = mReachableInstances.get();
        mInstances.forEach(record -> names.add(record.name()));
        mStoredJobsWerePossible = mStoredJobsPossible.getAsBoolean();
        boolean changed = mPool.update(names.size(), mStoredJobsWerePossible, mLoop.nowNanos());
        if (changed) {
            mListener.onPoolChanged(
                    mPool.spansDataCentres(), names.size(), mStoredJobsWerePossible);
        }
        return changed;
    }

    private void applyInstances() {
        List<InstanceRecord> pool = new ArrayList<>();
        List<InstanceRecord> others = new ArrayList<>();
        for (InstanceRecord record : mInstances) {
            (isInPool(record.dataCentre()) ? pool : others).add(record);
        }
        mListener.onInstancesChanged(pool, others);
    }
}
