package org.wagtailproxy.dispatcher;

import java.util.Set;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.Majority;
import org.wagtailproxy.serve.EventLoop;

/**
 * Tracks whether this instance is the one that should coordinate the stored jobs: the leader of a
 * majority of the instances that it knows to be registered. Whether it does is decided by the guard
 * in the store, see {@link CoordinatorTerm}. Confined to the event loop.
 */
final class CoordinatorCandidacy {

    private final InstanceName mSelf;
    private final EventLoop mLoop;
    private final LeaderElection mElection;
    private final LeaderScheduler mLeaderScheduler;
    private final DecisionLog mLog;
    private boolean mLeadsMajority;

    CoordinatorCandidacy(
            InstanceName self,
            EventLoop loop,
            LeaderElection election,
            LeaderScheduler leaderScheduler,
            DecisionLog log) {
        mSelf = self;
        mLoop = loop;
        mElection = election;
        mLeaderScheduler = leaderScheduler;
        mLog = log;
    }

    /**
     * Starts or continues to coordinate the stored jobs, or stops.
     *
     * @param isPooled false if the fleet is divided, so that no instance coordinates stored jobs
     * @param storedJobsPossible false only if it is known that there are no stored jobs
     */
    void tick(boolean isPooled, boolean storedJobsPossible) {
        Set<InstanceName> registered = mElection.registeredInstances();
        updateMajority(registered);
        StoredJobCoordinator coordinator = mLeaderScheduler.coordinator();
        coordinator.updateInstances(registered);
        if (mElection.promiseSupport(mSelf)) {
            coordinator.onSupported(mSelf, mLoop.nowNanos());
        }
        mLeaderScheduler.updateCoordination(mLeadsMajority, isPooled, storedJobsPossible);
    }

    private void updateMajority(Set<InstanceName> registered) {
        Set<InstanceName> group = mElection.group();
        boolean isMajority = !group.isEmpty() && Majority.isMajority(group, registered);
        if (isMajority != mLeadsMajority) {
            mLeadsMajority = isMajority;
            mLog.majorityChanged(isMajority, group.size(), registered.size());
        }
    }
}
