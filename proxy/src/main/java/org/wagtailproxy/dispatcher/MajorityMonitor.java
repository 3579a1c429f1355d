package org.wagtailproxy.dispatcher;

import java.util.Set;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.Majority;

/** Tracks whether the group that this instance leads is a majority. Confined to the event loop. */
final class MajorityMonitor {

    private final DecisionLog mLog;
    private boolean mMajority;

    MajorityMonitor(DecisionLog log) {
        mLog = log;
    }

    /**
     * Updates the instances and returns whether the group is a majority.
     *
     * @param group this instance and those that follow it, empty if it does not lead
     * @param registered the instances that are known to be registered
     */
    boolean update(Set<InstanceName> group, Set<InstanceName> registered) {
        boolean isMajority = !group.isEmpty() && Majority.isMajority(group, registered);
        if (isMajority != mMajority) {
            mMajority = isMajority;
            mLog.majorityChanged(isMajority, group.size(), registered.size());
        }
        return isMajority;
    }
}
