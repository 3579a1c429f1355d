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
 * Decides which leader an instance follows, and with which claim mode a leader claims a backend
 * server.
 *
 * <p>Each instance follows the most senior reachable instance of its data centre. A leader's group
 * consists of the leader and the instances that report to follow it. Every backend server has a
 * preferred owner, which all instances compute alike by rendezvous hashing. The group that contains
 * the preferred owner claims the server first. An instance that is partitioned from the others thus
 * retains control of a part of the servers for its callers, and the others do not take these over.
 * Designed for network partitions of single instances or whole data centres and for dead or paused
 * leaders; makes no call to the platform.
 */
public final class Leadership {

    /**
     * An instance is large if its processor capacity is at least that of the largest one divided by
     * this.
     */
    private static final int LARGE_INSTANCE_DIVISOR = 2;

    private final Peer mSelf;
    private final long mMinLeaderProcessorMillis;

    private Leadership(Peer self, long minLeaderProcessorMillis) {
        mSelf = self;
        mMinLeaderProcessorMillis = minLeaderProcessorMillis;
    }

    /**
     * Creates the decisions of an instance without a minimum capacity for leaders.
     *
     * @param self the instance, not null
     * @return the decisions, never null
     */
    public static Leadership of(Peer self) {
        return new Leadership(Objects.requireNonNull(self, "self"), 0);
    }

    /**
     * Returns decisions by which a small instance leads only if no larger one can. The instances of
     * a large fleet differ in capacity, and the smallest cannot handle the load of its leader.
     *
     * @param peers the other instances of the data centre, reachable or not, not null
     * @return the changed decisions, never null
     */
    public Leadership preferringLargeInstances(Collection<Peer> peers) {
        long largest = mSelf.processorMillis();
        for (Peer peer : peers) {
            largest = Math.max(largest, peer.processorMillis());
        }
        return new Leadership(mSelf, largest / LARGE_INSTANCE_DIVISOR);
    }

    /**
     * Chooses the leader to follow.
     *
     * @param peers the other instances of the data centre, not null
     * @return the leader; this instance if no reachable peer is preferred to it; never null
     */
    public Peer chooseLeader(Collection<Peer> peers) {
        boolean storeAnswers = isStoreContactConfirmed(peers);
        Peer leader = mSelf;
        for (Peer peer : peers) {
            if (peer.reachable() && isPreferred(peer, leader, storeAnswers)) {
                leader = peer;
            }
        }
        return leader;
    }

    /**
     * Returns the members of the group that this instance leads.
     *
     * @param peers the other instances of the data centre, not null
     * @return the names of the reachable peers that follow it, and its own; never null
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
     * Checks whether an instance that would lead may start to do so.
     *
     * <p>After its start it waits for the answers of peers that may be more senior, unless a
     * majority already follows it and hence follows no other instance.
     *
     * @param initialProbesCompleted true if all peers have answered or have had time to answer
     * @param group the instance and its followers, not null
     * @param registered all registered instances of the pool, not null
     * @return true if it may lead
     */
    public static boolean mayStartLeading(
            boolean initialProbesCompleted,
            Set<InstanceName> group,
            Collection<InstanceName> registered) {
        return initialProbesCompleted
                || (group.size() > 1 && Majority.isMajority(group, registered));
    }

    /**
     * Returns the preferred owner of a backend server by rendezvous hashing.
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
     * Decides in which mode this instance claims a backend server.
     *
     * @param server the server, not null
     * @param leading true if this instance leads
     * @param group the group that it leads, and instances that are confirmed dead; not null
     * @param instances all registered instances of the data centre, not null
     * @return the claim mode, never null
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
        boolean isFirst = owner.isEmpty() || group.contains(owner.get());
        return isFirst ? ClaimMode.FIRST : ClaimMode.IF_UNUSED;
    }

    /**
     * Checks whether one instance is preferred to another as the leader. A draining instance leads
     * only if all are draining, one that has lost the store only if no instance has confirmed that
     * it answers, and one that cannot keep up with its work only if no other one of its size can.
     */
    private boolean isPreferred(Peer one, Peer other, boolean storeAnswers) {
        if (one.draining() != other.draining()) {
            return other.draining();
        }
        boolean isStoreLost = one.storeContact() == StoreContact.LOST;
        boolean isOtherStoreLost = other.storeContact() == StoreContact.LOST;
        if (storeAnswers && isStoreLost != isOtherStoreLost) {
            return isOtherStoreLost;
        }
        if (isLarge(one) != isLarge(other)) {
            return isLarge(one);
        }
        if (one.overloaded() != other.overloaded()) {
            return other.overloaded();
        }
        return one.seniority() != other.seniority()
                ? one.seniority() < other.seniority()
                : one.name().compareTo(other.name()) < 0;
    }

    private boolean isStoreContactConfirmed(Collection<Peer> peers) {
        return mSelf.storeContact() == StoreContact.CONFIRMED
                || peers.stream()
                        .anyMatch(
                                peer ->
                                        peer.reachable()
                                                && peer.storeContact() == StoreContact.CONFIRMED);
    }

    private boolean isLarge(Peer peer) {
        return peer.processorMillis() >= mMinLeaderProcessorMillis;
    }
}
