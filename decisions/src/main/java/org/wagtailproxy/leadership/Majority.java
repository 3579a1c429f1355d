package org.wagtailproxy.leadership;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether a group of instances is a majority of those that are known to be registered.
 *
 * <p>Designed for network partitions between data centres where both sides reach the store and some
 * backend servers: as long as both know the same registrations, only one group can be a majority.
 * If a group has exactly half of the instances, it is one if it contains the instance whose name
 * sorts first. An instance behind a partition may know other registrations, so this decides who
 * tries to coordinate the stored jobs, and not who does.
 */
public final class Majority {

    private Majority() {}

    /**
     * Checks whether a group is the majority.
     *
     * @param group the leader and the instances that follow it, not null
     * @param registered all registered instances of the pool, not null
     * @return true if no other group is one by the same registrations
     */
    public static boolean isMajority(Set<InstanceName> group, Collection<InstanceName> registered) {
        Objects.requireNonNull(group, "group");
        TreeSet<InstanceName> all = new TreeSet<>(registered);
        all.addAll(group);
        if (2 * group.size() == all.size()) {
            return group.contains(all.first());
        }
        return 2 * group.size() > all.size();
    }
}
