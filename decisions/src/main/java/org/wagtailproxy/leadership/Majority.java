package org.wagtailproxy.leadership;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether a group of instances is a majority, which no other group can be at the same time.
 *
 * <p>Designed for network partitions between data centres where both sides reach the store and some
 * backend servers: only one leader can be followed by more than half of the registered instances.
 * If a group has exactly half of them, it is the majority if it contains the instance whose name
 * sorts first. The leader of the majority coordinates the stored jobs.
 */
public final class Majority {

    private Majority() {}

    /**
     * Checks whether a group is the majority.
     *
     * @param group the leader and the instances that follow it, not null
     * @param registered all registered instances of the pool, not null
     * @return true if no other group can be the majority at the same time
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
