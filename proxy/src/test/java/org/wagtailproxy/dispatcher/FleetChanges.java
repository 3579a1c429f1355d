package org.wagtailproxy.dispatcher;

import java.util.List;

/**
 * Draws changes of the fleet itself and of its clocks: instances that are added or replaced,
 * leaders and renewals that are frozen at their very begin, steps of the time of day and short
 * suspensions.
 */
final class FleetChanges {

    private static final int MAX_INSTANCES = 12;
    private static final long ARMED_MILLIS = 3000;

    private final FleetSimulation mFleet;
    private final FleetFaults mFaults;
    private final VirtualTime mTime;
    private final List<String> mDataCentres;

    FleetChanges(FleetSimulation fleet, FleetFaults faults, List<String> dataCentres) {
        mFleet = fleet;
        mFaults = faults;
        mTime = fleet.mTime;
        mDataCentres = dataCentres;
    }

    void draw(SimulatedInstance leader, SimulatedInstance target) {
        List<Runnable> changes =
                List.of(
                        () -> addWhileLeadersAreLost(leader),
                        () -> replace(target),
                        () -> freezeAtRenewal(target),
                        () -> freezeAtLeadership(leader),
                        () -> stepTimeOfDay(target),
                        () -> suspendUnseen(target),
                        () -> suspendTwice(target));
        mTime.oneOf(changes).run();
    }

    private void addWhileLeadersAreLost(SimulatedInstance leader) {
        if (mFleet.upInstances().size() < MAX_INSTANCES) {
            SimulatedInstance added = mFleet.addInstance(mTime.oneOf(mDataCentres));
            mFaults.note(added.mHost.name() + " is added");
            mTime.after(mTime.between(0, 800), added::start);
        }
        mTime.after(
                mTime.between(0, 1000),
                () -> FleetFaults.ifUp(leader, () -> mFaults.killSuccessiveLeaders(leader)));
    }

    /** Replaces an instance by one of another name; its registration lapses or is removed. */
    private void replace(SimulatedInstance instance) {
        SimulatedInstance added = mFleet.addInstance(instance.mHost.dataCentre());
        boolean isDelisted = mTime.chance(0.3);
        boolean isUnreachable = mTime.chance(0.5);
        mFaults.note(
                instance.mHost.name()
                        + " is replaced by "
                        + added.mHost.name()
                        + (isDelisted ? ", delisted" : "")
                        + (isUnreachable ? ", unreachable" : ""));
        instance.retire();
        if (isUnreachable) {
            // The machine is gone for good, so nothing at its address refuses connections.
            mFleet.mNetwork.cut(
                    (from, to) -> from.equals(instance.mHost) || to.equals(instance.mHost),
                    Integer.MAX_VALUE);
        }
        if (isDelisted) {
            mTime.after(
                    mTime.between(0, 1500),
                    () ->
                            mFleet.mStore.remove(
                                    SimulatedInstance.INSTANCES_PREFIX + instance.mHost.name()));
        }
        mTime.after(mTime.between(0, 3000), added::start);
    }

    /** Freezes an instance while the renewal of its lease is on its way. */
    private void freezeAtRenewal(SimulatedInstance instance) {
        long millis = drawFreezeMillis();
        long delayMillis = mTime.between(0, 12);
        SimulatedProcess process = instance.process();
        mFleet.mStore.onNextRenewal(
                process, () -> mTime.after(delayMillis, () -> freeze(process, millis, "renewal")));
    }

    /** Kills a leader and freezes the one that follows it as it begins. */
    private void freezeAtLeadership(SimulatedInstance leader) {
        long millis = drawFreezeMillis();
        long delayMillis = mTime.between(0, 40);
        mFleet.onNextLeader(
                next ->
                        mTime.after(
                                delayMillis,
                                () ->
                                        FleetFaults.ifUp(
                                                next,
                                                () ->
                                                        freeze(
                                                                next.process(),
                                                                millis,
                                                                "leadership"))));
        mTime.after(ARMED_MILLIS, () -> mFleet.onNextLeader(null));
        mFaults.kill(leader);
    }

    private long drawFreezeMillis() {
        return mTime.chance(0.5) ? mTime.between(200, 1500) : mTime.between(1500, 6000);
    }

    private void freeze(SimulatedProcess process, long millis, String moment) {
        if (!process.isAlive()) {
            return;
        }
        boolean isSuspended = mTime.chance(0.5);
        mFaults.note(
                process.mHost.name()
                        + (isSuspended ? " is suspended for " : " is frozen for ")
                        + millis
                        + " ms at its "
                        + moment);
        if (isSuspended) {
            process.suspend(millis);
        } else {
            process.pause(millis);
        }
    }

    private void stepTimeOfDay(SimulatedInstance instance) {
        long millis = mTime.between(50, 5000) * (mTime.chance(0.5) ? 1 : -1);
        mFaults.note(instance.mHost.name() + " steps its time of day by " + millis + " ms");
        instance.process().stepTimeOfDay(millis);
    }

    /** A machine whose time of day stands still in a suspension, and may be corrected later. */
    private void suspendUnseen(SimulatedInstance instance) {
        long millis = mTime.between(200, 3000);
        mFaults.note(instance.mHost.name() + " is suspended unseen for " + millis + " ms");
        SimulatedProcess process = instance.process();
        process.suspend(millis);
        process.stepTimeOfDay(-millis);
        if (mTime.chance(0.5)) {
            mTime.after(
                    millis + mTime.between(0, 4000),
                    () -> {
                        mFaults.note(process.mHost.name() + " corrects its time of day");
                        process.stepTimeOfDay(millis);
                    });
        }
    }

    private void suspendTwice(SimulatedInstance instance) {
        long gapMillis = mTime.between(1, 150);
        mFaults.note(instance.mHost.name() + " is suspended twice, " + gapMillis + " ms apart");
        SimulatedProcess process = instance.process();
        process.suspend(300);
        mTime.after(300 + gapMillis, () -> process.suspend(300));
    }
}
