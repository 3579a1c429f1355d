package org.wagtailproxy.membership;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;

/**
 * What one instance knows of all instances, and the two decisions drawn from it: whether it may
 * publish ends itself, and which others may be sealed.
 *
 * <p>Detectors may be wrong at any moment. An instance withholds ends once it is out of touch for
 * the withholding time; others seal it only after the longer sealing time, so that nobody hears
 * "complete" from one and "failed" from another. Not safe for use by several threads; the owner
 * holds a lock.
 */
public final class MemberTable {

    private final Member mSelf;
    private final MembershipTiming mTiming;
    private final Map<Incarnation, Known> mKnown = new TreeMap<>();
    private final Map<Incarnation, Seal> mSeals = new HashMap<>();
    private final Map<Incarnation, Long> mSealedNanos = new HashMap<>();
    private final Set<Incarnation> mForgotten = new HashSet<>();
    private final Map<HostAddress, Long> mRefusedNanos = new HashMap<>();
    private final Map<HostAddress, Long> mAbsentSinceNanos = new HashMap<>();
    private final Map<HostAddress, InstanceListing> mListed = new TreeMap<>();
    private boolean mListRead;
    private long mListReadNanos;
    private long mProofNanos;

    private MemberTable(Member self, MembershipTiming timing, long nowNanos) {
        mSelf = self;
        mTiming = timing;
        mProofNanos = nowNanos;
    }

    /**
     * Creates the table of an instance that starts now.
     *
     * @param self this instance, not null
     * @param timing how long silence is borne, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the table, never null
     */
    public static MemberTable of(Member self, MembershipTiming timing, long nowNanos) {
        Objects.requireNonNull(self, "self");
        return new MemberTable(self, timing, nowNanos);
    }

    /**
     * Notes that a member answered or called.
     *
     * @param member the member, not null
     * @param nowNanos the monotonic time in nanoseconds, taken before the exchange began
     */
    public void onContact(Member member, long nowNanos) {
        if (member.incarnation().equals(mSelf.incarnation())) {
            return;
        }
        Known known = mKnown.computeIfAbsent(member.incarnation(), key -> new Known(nowNanos));
        known.mMember = member;
        known.mHeardNanos = Math.max(known.mHeardNanos, nowNanos);
        known.mEverHeard = true;
        replaceOthersAt(member, nowNanos);
        renewProof(member, nowNanos);
    }

    /**
     * Notes a member that another instance knows, or that has called; no proof of its life.
     *
     * @param member the member, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onMemberReported(Member member, long nowNanos) {
        Known current = mKnown.get(member.incarnation());
        if (current != null && member.leaving()) {
            current.mMember = member;
        }
        boolean forgotten = mForgotten.contains(member.incarnation());
        boolean self = member.incarnation().equals(mSelf.incarnation());
        if (current != null || forgotten || self) {
            return;
        }
        Known known = new Known(nowNanos);
        known.mMember = member;
        known.mReplaced = member.peerAddress().equals(mSelf.peerAddress());
        mKnown.put(member.incarnation(), known);
    }

    /**
     * Notes that an address refused a connection, which proves that no process listens there.
     *
     * @param address the address, not null
     * @param nowNanos the monotonic time in nanoseconds, taken before the attempt
     */
    public void onConnectionRefused(HostAddress address, long nowNanos) {
        mRefusedNanos.put(address, nowNanos);
        if (allNeighboursAnsweredOrRefused(nowNanos)) {
            mProofNanos = Math.max(mProofNanos, nowNanos);
        }
    }

    /**
     * Takes over the platform's list of entry instances.
     *
     * @param listings the whole list, not null
     * @param readNow whether this instance has just read it from the platform itself
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void updateListed(Collection<InstanceListing> listings, boolean readNow, long nowNanos) {
        mListed.clear();
        for (InstanceListing listing : listings) {
            mListed.put(listing.peerAddress(), listing);
            mAbsentSinceNanos.remove(listing.peerAddress());
        }
        for (Known known : mKnown.values()) {
            HostAddress address = known.mMember.peerAddress();
            if (!mListed.containsKey(address)) {
                mAbsentSinceNanos.putIfAbsent(address, nowNanos);
            }
        }
        if (readNow) {
            mListRead = true;
            mListReadNanos = nowNanos;
        }
    }

    /**
     * Notes that the store holds no seal of this instance.
     *
     * @param nowNanos the monotonic time in nanoseconds, taken before the read was sent
     */
    public void onOwnSealAbsent(long nowNanos) {
        mProofNanos = Math.max(mProofNanos, nowNanos);
    }

    /**
     * Takes over a seal; the first one of an incarnation stays.
     *
     * @param seal the seal, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if it was not known
     */
    public boolean recordSeal(Seal seal, long nowNanos) {
        if (mForgotten.contains(seal.incarnation())) {
            return false;
        }
        mSealedNanos.putIfAbsent(seal.incarnation(), nowNanos);
        return mSeals.putIfAbsent(seal.incarnation(), seal) == null;
    }

    /**
     * Returns the seal of an incarnation.
     *
     * @param incarnation the incarnation, not null
     * @return the seal, none if it is not known to be sealed
     */
    public Option<Seal> sealOf(Incarnation incarnation) {
        return Option.of(mSeals.get(incarnation));
    }

    /**
     * Returns every known seal.
     *
     * @return a copy, never null
     */
    public List<Seal> seals() {
        return List.copyOf(mSeals.values());
    }

    /**
     * Returns every known member but this one.
     *
     * @return a copy, never null
     */
    public List<Member> members() {
        return mKnown.values().stream().map(known -> known.mMember).toList();
    }

    /**
     * Finds a member.
     *
     * @param incarnation the incarnation, not null
     * @return the member, none if it is not known
     */
    public Option<Member> find(Incarnation incarnation) {
        if (incarnation.equals(mSelf.incarnation())) {
            return Option.some(mSelf);
        }
        return Option.of(mKnown.get(incarnation)).map(known -> known.mMember);
    }

    /**
     * Finds a member by the lower half of its incarnation.
     *
     * @param low the lower 64 bits
     * @return the member, none if it is not known
     */
    public Option<Member> findByLowBits(long low) {
        for (Known known : mKnown.values()) {
            if (known.mMember.incarnation().low() == low) {
                return Option.some(known.mMember);
            }
        }
        return Option.none();
    }

    /**
     * Returns the members that were heard within the sealing time, without this one.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the members in the order of their incarnations, never null
     */
    public List<Member> liveMembers(long nowNanos) {
        List<Member> live = new ArrayList<>();
        for (Known known : mKnown.values()) {
            if (isLive(known, nowNanos)) {
                live.add(known.mMember);
            }
        }
        return live;
    }

    /**
     * Returns the live members of one data centre, without this one.
     *
     * @param place the data centre, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the members in the order of their incarnations, never null
     */
    public List<Member> liveMembersIn(DataCentre place, long nowNanos) {
        return liveMembers(nowNanos).stream()
                .filter(each -> each.dataCentre().equals(place))
                .toList();
    }

    /**
     * Returns the members of a data centre that may hold replicas: known, unsealed, not replaced.
     *
     * @param place the data centre, not null
     * @return the members, never null
     */
    public List<Member> possibleReplicaMembers(DataCentre place) {
        List<Member> holders = new ArrayList<>();
        for (Known known : mKnown.values()) {
            boolean gone = known.mReplaced || mSeals.containsKey(known.mMember.incarnation());
            if (!gone && known.mMember.dataCentre().equals(place)) {
                holders.add(known.mMember);
            }
        }
        return holders;
    }

    /**
     * Returns the addresses that heartbeats are sent to.
     *
     * @return listed and known addresses, without the own one, in order
     */
    public List<HostAddress> heartbeatAddresses() {
        TreeSet<HostAddress> addresses = new TreeSet<>(mListed.keySet());
        for (Known known : mKnown.values()) {
            boolean sealed = mSeals.containsKey(known.mMember.incarnation());
            if (!known.mReplaced && !sealed) {
                addresses.add(known.mMember.peerAddress());
            }
        }
        addresses.remove(mSelf.peerAddress());
        return List.copyOf(addresses);
    }

    /**
     * Tests whether an address belongs to the own data centre.
     *
     * @param address the address, not null
     * @return true if it is listed or known there
     */
    public boolean isNeighbour(HostAddress address) {
        return neighbourAddresses().contains(address);
    }

    /**
     * Decides whether this instance may make another end visible.
     *
     * <p>An end that no neighbour keeps is only shown if no neighbour can be alive: otherwise it
     * would be lost with this instance, or contradicted by a neighbour that seals it.
     *
     * @param replicas how many neighbours keep the end
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if this instance cannot have been sealed and the end is safe
     */
    public boolean mayPublish(int replicas, long nowNanos) {
        if (mSeals.containsKey(mSelf.incarnation())) {
            return false;
        }
        boolean proved = nowNanos - mProofNanos < mTiming.withhold().toNanos();
        TreeSet<HostAddress> neighbours = neighbourAddresses();
        boolean alone = neighbours.stream().allMatch(each -> isRefused(each, nowNanos));
        return neighbours.isEmpty() || (proved && (replicas > 0 || alone));
    }

    /**
     * Tests whether the store ought to be asked for the own seal, because proof runs out.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if half of the withholding time has passed without proof
     */
    public boolean needsSealCheck(long nowNanos) {
        return nowNanos - mProofNanos >= mTiming.withhold().toNanos() / 2;
    }

    /**
     * Returns the members that may be sealed as lost.
     *
     * <p>A member is replaced, which proves its death, when another incarnation answers at its
     * address. Otherwise it must have been silent, and absent from a list that this instance read
     * itself, for the whole sealing time.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the members, never null
     */
    public List<Member> sealableMembers(long nowNanos) {
        List<Member> sealable = new ArrayList<>();
        for (Known known : mKnown.values()) {
            boolean sealed = mSeals.containsKey(known.mMember.incarnation());
            if (!sealed && (known.mReplaced || isGone(known, nowNanos))) {
                sealable.add(known.mMember);
            }
        }
        return sealable;
    }

    /**
     * Forgets the members that were sealed before a moment, for good.
     *
     * @param nanos the monotonic time in nanoseconds
     * @return the forgotten incarnations, never null
     */
    public List<Incarnation> forgetSealedBefore(long nanos) {
        List<Incarnation> old =
                mSealedNanos.entrySet().stream()
                        .filter(entry -> entry.getValue() - nanos < 0)
                        .map(Map.Entry::getKey)
                        .filter(each -> !each.equals(mSelf.incarnation()))
                        .toList();
        for (Incarnation incarnation : old) {
            mKnown.remove(incarnation);
            mSeals.remove(incarnation);
            mSealedNanos.remove(incarnation);
            mForgotten.add(incarnation);
        }
        return old;
    }

    private boolean isGone(Known known, long nowNanos) {
        boolean local = known.mMember.dataCentre().equals(mSelf.dataCentre());
        long patience = (local ? mTiming.seal() : mTiming.remoteSeal()).toNanos();
        Long absentSince = mAbsentSinceNanos.get(known.mMember.peerAddress());
        boolean listFresh = mListRead && nowNanos - mListReadNanos < mTiming.withhold().toNanos();
        return listFresh
                && absentSince != null
                && nowNanos - absentSince >= patience
                && nowNanos - known.mHeardNanos >= patience;
    }

    private boolean isLive(Known known, long nowNanos) {
        boolean gone = known.mReplaced || mSeals.containsKey(known.mMember.incarnation());
        boolean heard = nowNanos - known.mHeardNanos < mTiming.withhold().toNanos();
        return !gone && known.mEverHeard && heard && !refusedSince(known);
    }

    private boolean refusedSince(Known known) {
        Long refused = mRefusedNanos.get(known.mMember.peerAddress());
        return refused != null && refused - known.mHeardNanos > 0;
    }

    /** An answer proves the death of those known at the address before the exchange began. */
    private void replaceOthersAt(Member member, long nowNanos) {
        for (Known other : mKnown.values()) {
            boolean sameAddress = other.mMember.peerAddress().equals(member.peerAddress());
            boolean same = other.mMember.incarnation().equals(member.incarnation());
            if (sameAddress && !same && nowNanos - other.mHeardNanos > 0) {
                other.mReplaced = true;
            }
        }
    }

    /** A neighbour's word counts while proof is unbroken; after a gap all neighbours must speak. */
    private void renewProof(Member member, long nowNanos) {
        if (!member.dataCentre().equals(mSelf.dataCentre())) {
            return;
        }
        boolean unbroken = nowNanos - mProofNanos < mTiming.withhold().toNanos();
        if (unbroken || allNeighboursAnsweredOrRefused(nowNanos)) {
            mProofNanos = Math.max(mProofNanos, nowNanos);
        }
    }

    /**
     * Tests whether every neighbour was heard, or refused a connection, within the withholding
     * time.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if none is silent
     */
    public boolean allNeighboursAnsweredOrRefused(long nowNanos) {
        for (HostAddress address : neighbourAddresses()) {
            if (!accounted(address, nowNanos)) {
                return false;
            }
        }
        return true;
    }

    private boolean accounted(HostAddress address, long nowNanos) {
        if (isRefused(address, nowNanos)) {
            return true;
        }
        long withhold = mTiming.withhold().toNanos();
        for (Known known : mKnown.values()) {
            boolean here = known.mMember.peerAddress().equals(address) && !known.mReplaced;
            if (here && known.mEverHeard && nowNanos - known.mHeardNanos < withhold) {
                return true;
            }
        }
        return false;
    }

    private boolean isRefused(HostAddress address, long nowNanos) {
        Long refused = mRefusedNanos.get(address);
        return refused != null && nowNanos - refused < mTiming.withhold().toNanos();
    }

    private TreeSet<HostAddress> neighbourAddresses() {
        TreeSet<HostAddress> addresses = new TreeSet<>();
        for (InstanceListing listing : mListed.values()) {
            if (listing.dataCentre().equals(mSelf.dataCentre())) {
                addresses.add(listing.peerAddress());
            }
        }
        for (Member member : possibleReplicaMembers(mSelf.dataCentre())) {
            addresses.add(member.peerAddress());
        }
        addresses.remove(mSelf.peerAddress());
        return addresses;
    }

    /** A member and what is known of its life. */
    private static final class Known {
        private Member mMember;
        private long mHeardNanos;
        private boolean mEverHeard;
        private boolean mReplaced;

        private Known(long nowNanos) {
            mHeardNanos = nowNanos;
        }
    }
}
