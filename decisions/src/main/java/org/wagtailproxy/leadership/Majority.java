package org.wagtailproxy.leadership;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether a group of instances is the one that no other group can be at the same time.
 *
 * <p>Answers cuts between data centres on both sides of which the store and some backend servers
 * are reached: more than half of the registered instances can follow only one leader. Of two halves
 * the one with the first name counts. The leader of this group keeps the stored jobs.
 */
public final class Majority {

    private Majority() {}

    /**
     * Tests whether a group is the majority.
     *
     * @param group the leader and those that follow it, not null
     * @param registered all registered instances of the pool, not null
     * @return true if no other group can be
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
