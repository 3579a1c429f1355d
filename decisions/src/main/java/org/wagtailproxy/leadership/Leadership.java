package org.wagtailproxy.leadership;

import com.google.common.hash.Hashing;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.scheduling.ClaimMode;

/**
 * Decides whom an instance follows, and how strong a leader's claim to a backend server is.
 *
 * <p>Each instance follows the most senior one of its data centre that it reaches. A leader's group
 * is itself and those that say they follow it. Every backend server has a natural owner, the same
 * by the reckoning of all instances; the group that holds it has priority, so that an instance that
 * is cut off from the others keeps a part of the servers to serve its callers with, and the others
 * leave it alone there. Answers cuts of single instances, dead and frozen leaders and data centres
 * that are cut off, without a call to the platform.
 */
public final class Leadership {

    /** A large instance has at least this part of the largest one's processor. */
    private static final int SMALLEST_LEADER_ONE_IN = 2;

    private final Peer mSelf;
    private final long mLeastProcessorMillis;

    private Leadership(Peer self, long leastProcessorMillis) {
        mSelf = self;
        mLeastProcessorMillis = leastProcessorMillis;
    }

    /**
     * Creates the decisions of an instance.
     *
     * @param self the instance, not null
     * @return the decisions, never null
     */
    public static Leadership of(Peer self) {
        return new Leadership(Objects.requireNonNull(self, "self"), 0);
    }

    /**
     * Lets small instances lead only if no larger one can, as those of a large fleet differ and the
     * smallest cannot bear it.
     *
     * @param peers the other instances of the data centre, reachable or not, not null
     * @return the changed decisions, never null
     */
    public Leadership preferringLargeInstances(Collection<Peer> peers) {
        long largest = mSelf.processorMillis();
        for (Peer peer : peers) {
            largest = Math.max(largest, peer.processorMillis());
        }
        return new Leadership(mSelf, largest / SMALLEST_LEADER_ONE_IN);
    }

    /**
     * Chooses the leader to follow.
     *
     * @param peers the other instances of the data centre, not null
     * @return the leader, this instance if no other one is reachable and senior; never null
     */
    public Peer chooseLeader(Collection<Peer> peers) {
        Peer leader = mSelf;
        for (Peer peer : peers) {
            if (peer.reachable() && isPreferred(peer, leader)) {
                leader = peer;
            }
        }
        return leader;
    }

    /**
     * Returns the group that this instance leads.
     *
     * @param peers the other instances of the data centre, not null
     * @return the names of those who follow it, and its own; never null
     */
    public Set<InstanceName> groupMembers(Collection<Peer> peers) {
        Set<InstanceName> group = new HashSet<>();
        group.add(mSelf.name());
        for (Peer peer : peers) {
            if (peer.reachable() && peer.follows().equals(Option.some(mSelf.name()))) {
                group.add(peer.name());
            }
        }
        return group;
    }

    /**
     * Tests whether an instance that would lead may begin to.
     *
     * <p>After its start it waits for the answers of those that may be senior to it, unless a
     * majority follows it already, which then follows no other.
     *
     * @param settled true if all have answered or have had time to
     * @param group the instance and those that follow it, not null
     * @param registered all registered instances of the pool, not null
     * @return true if it may lead
     */
    public static boolean mayStartLeading(
            boolean settled, Set<InstanceName> group, Collection<InstanceName> registered) {
        return settled || (group.size() > 1 && Majority.isMajority(group, registered));
    }

    /**
     * Returns the natural owner of a backend server.
     *
     * @param server the server, not null
     * @param instances the instances of the data centre, not null
     * @return the instance with the highest hash, none if there is no instance
     */
    public static Option<InstanceName> preferredOwner(
            ServerId server, Collection<InstanceName> instances) {
        InstanceName owner = null;
        long highest = 0;
        for (InstanceName instance : instances) {
            long hash =
                    Hashing.murmur3_128()
                            .hashString(server + "/" + instance, StandardCharsets.UTF_8)
                            .asLong();
            if (owner == null || hash > highest) {
                owner = instance;
                highest = hash;
            }
        }
        return Option.of(owner);
    }

    /**
     * Decides how strong the claim of this instance to a backend server is.
     *
     * @param server the server, not null
     * @param leading true if this instance leads
     * @param group the group that it leads, and instances whose death is proved; not null
     * @param instances all instances of the data centre that are registered, not null
     * @return the claim, never null
     */
    public ClaimMode claimMode(
            ServerId server,
            boolean leading,
            Set<InstanceName> group,
            Collection<InstanceName> instances) {
        if (!leading) {
            return ClaimMode.NONE;
        }
        Option<InstanceName> owner = preferredOwner(server, instances);
        boolean first = owner.isEmpty() || group.contains(owner.get());
        return first ? ClaimMode.FIRST : ClaimMode.IF_UNUSED;
    }

    /**
     * A draining instance leads only if all are about to stop, one without the store only if none
     * reaches it.
     */
    private boolean isPreferred(Peer one, Peer other) {
        if (one.draining() != other.draining()) {
            return other.draining();
        }
        if (one.storeUnreachable() != other.storeUnreachable()) {
            return other.storeUnreachable();
        }
        if (isStrong(one) != isStrong(other)) {
            return isStrong(one);
        }
        return one.seniority() != other.seniority()
                ? one.seniority() < other.seniority()
                : one.name().compareTo(other.name()) < 0;
    }

    private boolean isStrong(Peer peer) {
        return peer.processorMillis() >= mLeastProcessorMillis;
    }
}
