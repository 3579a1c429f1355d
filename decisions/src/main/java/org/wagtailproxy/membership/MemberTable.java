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
 * Tracks what one instance knows of all instances, and decides from it whether this instance may
 * publish ends (final results of jobs) and which other members may be sealed.
 *
 * <p>A seal is the irrevocable record that an incarnation of an instance no longer has authority
 * over its jobs; if the instance is sealed as lost, others report its jobs without a replicated end
 * as failed. Failure detection may be wrong at any time: a sealed instance may be alive. Therefore
 * an instance publishes ends only while it has proof that it was not sealed, and withholds them
 * (does not publish them) once the last proof is older than the withholding time. Others seal it
 * only after the longer sealing time, so that no caller receives "complete" from one instance and
 * "failed" from another.
 *
 * <p>Proof is a read of the store that finds no seal of this instance, a message of a neighbour
 * (another instance of the data centre) while the last proof is recent, or the fact that every
 * neighbour has lately answered or refused a connection.
 *
 * <p>Not thread-safe; the owner synchronizes access.
 */
public final class MemberTable {

    private final Member mSelf;
    private final MembershipTiming mTiming;
    private final Map<Incarnation, MemberEntry> mEntries = new TreeMap<>();
    private final Map<Incarnation, Seal> mSeals = new HashMap<>();

    /** The times at which this instance recorded the seals. */
    private final Map<Incarnation, Long> mSealRecordedNanos = new HashMap<>();

    /** Sealed incarnations that were removed; later reports of them are ignored. */
    private final Set<Incarnation> mForgottenIncarnations = new HashSet<>();

    private final Map<HostAddress, Long> mConnectionRefusedNanos = new HashMap<>();

    /** The times since when addresses of members are missing in the platform's list. */
    private final Map<HostAddress, Long> mAbsentSinceNanos = new HashMap<>();

    private final Map<HostAddress, InstanceListing> mListings = new TreeMap<>();
    private boolean mListReadFromPlatform;
    private long mListReadNanos;

    /** The time of the last proof that this instance was not sealed. */
    private long mUnsealedProofNanos;

    private MemberTable(Member self, MembershipTiming timing, long nowNanos) {
        mSelf = self;
        mTiming = timing;
        mUnsealedProofNanos = nowNanos;
    }

    /**
     * Creates the table of an instance that starts now.
     *
     * @param self this instance, not null
     * @param timing the times without contact after which ends are withheld and members sealed, not
     *     null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the table, never null
     */
    public static MemberTable of(Member self, MembershipTiming timing, long nowNanos) {
        Objects.requireNonNull(self, "self");
        return new MemberTable(self, timing, nowNanos);
    }

    /**
     * Records a message of a member, either an answer or a call, which proves that it is alive.
     *
     * @param member the member, not null
     * @param nowNanos the monotonic time in nanoseconds, taken before the exchange began
     */
    public void onContact(Member member, long nowNanos) {
        if (member.incarnation().equals(mSelf.incarnation())) {
            return;
        }
        MemberEntry entry =
                mEntries.computeIfAbsent(member.incarnation(), key -> new MemberEntry(nowNanos));
        entry.mMember = member;
        entry.mLastContactNanos = Math.max(entry.mLastContactNanos, nowNanos);
        entry.mEverContacted = true;
        markOthersAtAddressReplaced(member, nowNanos);
        renewUnsealedProof(member, nowNanos);
    }

    /**
     * Records a member that another instance reports, or that has called. This does not prove that
     * it is alive.
     *
     * @param member the member, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onMemberReported(Member member, long nowNanos) {
        MemberEntry existing = mEntries.get(member.incarnation());
        if (existing != null && member.leaving()) {
            existing.mMember = member;
        }
        boolean forgotten = mForgottenIncarnations.contains(member.incarnation());
        boolean self = member.incarnation().equals(mSelf.incarnation());
        if (existing != null || forgotten || self) {
            return;
        }
        MemberEntry entry = new MemberEntry(nowNanos);
        entry.mMember = member;
        entry.mReplaced = member.peerAddress().equals(mSelf.peerAddress());
        mEntries.put(member.incarnation(), entry);
    }

    /**
     * Records that an address refused a connection, which proves that no process listens there.
     *
     * @param address the address, not null
     * @param nowNanos the monotonic time in nanoseconds, taken before the attempt
     */
    public void onConnectionRefused(HostAddress address, long nowNanos) {
        mConnectionRefusedNanos.put(address, nowNanos);
        if (allNeighboursAnsweredOrRefused(nowNanos)) {
            mUnsealedProofNanos = Math.max(mUnsealedProofNanos, nowNanos);
        }
    }

    /**
     * Updates the platform's list of instances.
     *
     * @param listings the complete list, not null
     * @param readNow true if this instance has just read it from the platform itself
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void updateListed(Collection<InstanceListing> listings, boolean readNow, long nowNanos) {
        mListings.clear();
        for (InstanceListing listing : listings) {
            mListings.put(listing.peerAddress(), listing);
            mAbsentSinceNanos.remove(listing.peerAddress());
        }
        for (MemberEntry entry : mEntries.values()) {
            HostAddress address = entry.mMember.peerAddress();
            if (!mListings.containsKey(address)) {
                mAbsentSinceNanos.putIfAbsent(address, nowNanos);
            }
        }
        if (readNow) {
            mListReadFromPlatform = true;
            mListReadNanos = nowNanos;
        }
    }

    /**
     * Records that the store contains no seal of this instance.
     *
     * @param nowNanos the monotonic time in nanoseconds, taken before the read was sent
     */
    public void onOwnSealAbsent(long nowNanos) {
        mUnsealedProofNanos = Math.max(mUnsealedProofNanos, nowNanos);
    }

    /**
     * Records a seal. The first seal of an incarnation stays; a seal of a forgotten incarnation is
     * ignored.
     *
     * @param seal the seal, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the incarnation was not sealed before
     */
    public boolean recordSeal(Seal seal, long nowNanos) {
        if (mForgottenIncarnations.contains(seal.incarnation())) {
            return false;
        }
        mSealRecordedNanos.putIfAbsent(seal.incarnation(), nowNanos);
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
     * Returns all known seals.
     *
     * @return a copy, never null
     */
    public List<Seal> seals() {
        return List.copyOf(mSeals.values());
    }

    /**
     * Returns all known members except this one.
     *
     * @return a copy, never null
     */
    public List<Member> members() {
        return mEntries.values().stream().map(entry -> entry.mMember).toList();
    }

    /**
     * Finds a member.
     *
     * @param incarnation the incarnation, not null
     * @return the member, none if it is unknown
     */
    public Option<Member> find(Incarnation incarnation) {
        if (incarnation.equals(mSelf.incarnation())) {
            return Option.some(mSelf);
        }
        return Option.of(mEntries.get(incarnation)).map(entry -> entry.mMember);
    }

    /**
     * Finds a member by the lower half of its incarnation.
     *
     * @param lowBits the lower 64 bits of the incarnation
     * @return the member, none if it is unknown
     */
    public Option<Member> findByLowBits(long lowBits) {
        for (MemberEntry entry : mEntries.values()) {
            if (entry.mMember.incarnation().low() == lowBits) {
                return Option.some(entry.mMember);
            }
        }
        return Option.none();
    }

    /**
     * Returns the live members without this one: contacted within the withholding time, neither
     * sealed nor replaced, and without a refused connection since the contact.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the members in the order of their incarnations, never null
     */
    public List<Member> liveMembers(long nowNanos) {
        List<Member> live = new ArrayList<>();
        for (MemberEntry entry : mEntries.values()) {
            if (isLive(entry, nowNanos)) {
                live.add(entry.mMember);
            }
        }
        return live;
    }

    /**
     * Returns the live members of a data centre, without this one.
     *
     * @param dataCentre the data centre, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the members in the order of their incarnations, never null
     */
    public List<Member> liveMembersIn(DataCentre dataCentre, long nowNanos) {
        return liveMembers(nowNanos).stream()
                .filter(each -> each.dataCentre().equals(dataCentre))
                .toList();
    }

    /**
     * Returns the members of a data centre that may store replicas: those that are neither sealed
     * nor replaced.
     *
     * @param dataCentre the data centre, not null
     * @return the members, never null
     */
    public List<Member> possibleReplicaMembers(DataCentre dataCentre) {
        List<Member> members = new ArrayList<>();
        for (MemberEntry entry : mEntries.values()) {
            boolean excluded = entry.mReplaced || mSeals.containsKey(entry.mMember.incarnation());
            if (!excluded && entry.mMember.dataCentre().equals(dataCentre)) {
                members.add(entry.mMember);
            }
        }
        return members;
    }

    /**
     * Returns the addresses that heartbeats are sent to.
     *
     * @return the listed addresses and those of members that are neither sealed nor replaced,
     *     without the own one, in order
     */
    public List<HostAddress> heartbeatAddresses() {
        TreeSet<HostAddress> addresses = new TreeSet<>(mListings.keySet());
        for (MemberEntry entry : mEntries.values()) {
            boolean sealed = mSeals.containsKey(entry.mMember.incarnation());
            if (!entry.mReplaced && !sealed) {
                addresses.add(entry.mMember.peerAddress());
            }
        }
        addresses.remove(mSelf.peerAddress());
        return List.copyOf(addresses);
    }

    /**
     * Checks whether an address belongs to a neighbour, an instance of the own data centre.
     *
     * @param address the address, not null
     * @return true if it is listed there or belongs to a member that may store replicas
     */
    public boolean isNeighbour(HostAddress address) {
        return neighbourAddresses().contains(address);
    }

    /**
     * Decides whether this instance may publish an end.
     *
     * <p>An end that no neighbour stores is published only if no neighbour can be alive. Otherwise
     * it could be lost with this instance, or contradicted by a neighbour that seals this instance.
     *
     * @param replicas the number of neighbours that store the end
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if this instance cannot have been sealed and the end cannot be lost
     */
    public boolean mayPublish(int replicas, long nowNanos) {
        if (mSeals.containsKey(mSelf.incarnation())) {
            return false;
        }
        boolean unsealed = nowNanos - mUnsealedProofNanos < mTiming.withhold().toNanos();
        TreeSet<HostAddress> neighbours = neighbourAddresses();
        boolean allRefused =
                neighbours.stream().allMatch(each -> hasRefusedConnection(each, nowNanos));
        return neighbours.isEmpty() || (unsealed && (replicas > 0 || allRefused));
    }

    /**
     * Checks whether the store has to be queried for the own seal because the proof that there is
     * none is about to expire.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if half of the withholding time has passed without proof
     */
    public boolean needsSealCheck(long nowNanos) {
        return nowNanos - mUnsealedProofNanos >= mTiming.withhold().toNanos() / 2;
    }

    /**
     * Returns the members that may be sealed as lost.
     *
     * <p>A member that was replaced, because another incarnation answers at its address, is
     * confirmed dead. Any other member must have been without contact, and absent from a list that
     * this instance read itself, for the whole sealing time.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the members, never null
     */
    public List<Member> sealableMembers(long nowNanos) {
        List<Member> sealable = new ArrayList<>();
        for (MemberEntry entry : mEntries.values()) {
            boolean sealed = mSeals.containsKey(entry.mMember.incarnation());
            if (!sealed && (entry.mReplaced || isAbsentForSealingTime(entry, nowNanos))) {
                sealable.add(entry.mMember);
            }
        }
        return sealable;
    }

    /**
     * Permanently forgets the members that were sealed before a given time.
     *
     * @param nanos the monotonic time in nanoseconds
     * @return the forgotten incarnations, never null
     */
    public List<Incarnation> forgetSealedBefore(long nanos) {
        List<Incarnation> expired =
                mSealRecordedNanos.entrySet().stream()
                        .filter(entry -> entry.getValue() - nanos < 0)
                        .map(Map.Entry::getKey)
                        .filter(each -> !each.equals(mSelf.incarnation()))
                        .toList();
        for (Incarnation incarnation : expired) {
            mEntries.remove(incarnation);
            mSeals.remove(incarnation);
            mSealRecordedNanos.remove(incarnation);
            mForgottenIncarnations.add(incarnation);
        }
        return expired;
    }

    private boolean isAbsentForSealingTime(MemberEntry entry, long nowNanos) {
        boolean isLocal = entry.mMember.dataCentre().equals(mSelf.dataCentre());
        long sealingNanos = (isLocal ? mTiming.seal() : mTiming.remoteSeal()).toNanos();
        Long absentSince = mAbsentSinceNanos.get(entry.mMember.peerAddress());
        boolean listIsRecent =
                mListReadFromPlatform && nowNanos - mListReadNanos < mTiming.withhold().toNanos();
        return listIsRecent
                && absentSince != null
                && nowNanos - absentSince >= sealingNanos
                && nowNanos - entry.mLastContactNanos >= sealingNanos;
    }

    private boolean isLive(MemberEntry entry, long nowNanos) {
        boolean excluded = entry.mReplaced || mSeals.containsKey(entry.mMember.incarnation());
        boolean contactedLately = nowNanos - entry.mLastContactNanos < mTiming.withhold().toNanos();
        return !excluded
                && entry.mEverContacted
                && contactedLately
                && !hasRefusedSinceContact(entry);
    }

    private boolean hasRefusedSinceContact(MemberEntry entry) {
        Long refused = mConnectionRefusedNanos.get(entry.mMember.peerAddress());
        return refused != null && refused - entry.mLastContactNanos > 0;
    }

    /**
     * Marks as replaced the other members at the address whose last contact was before the exchange
     * began: the answer proves that they are dead.
     */
    private void markOthersAtAddressReplaced(Member member, long nowNanos) {
        for (MemberEntry other : mEntries.values()) {
            boolean sameAddress = other.mMember.peerAddress().equals(member.peerAddress());
            boolean sameIncarnation = other.mMember.incarnation().equals(member.incarnation());
            if (sameAddress && !sameIncarnation && nowNanos - other.mLastContactNanos > 0) {
                other.mReplaced = true;
            }
        }
    }

    /**
     * Renews the proof that this instance is not sealed. A message of one neighbour suffices while
     * the proof has not expired; after that, every neighbour must have answered or refused a
     * connection.
     */
    private void renewUnsealedProof(Member member, long nowNanos) {
        if (!member.dataCentre().equals(mSelf.dataCentre())) {
            return;
        }
        boolean proofIsRecent = nowNanos - mUnsealedProofNanos < mTiming.withhold().toNanos();
        if (proofIsRecent || allNeighboursAnsweredOrRefused(nowNanos)) {
            mUnsealedProofNanos = Math.max(mUnsealedProofNanos, nowNanos);
        }
    }

    /**
     * Checks whether every neighbour was in contact, or refused a connection, within the
     * withholding time.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if no neighbour is unresponsive
     */
    public boolean allNeighboursAnsweredOrRefused(long nowNanos) {
        for (HostAddress address : neighbourAddresses()) {
            if (!hasAnsweredOrRefused(address, nowNanos)) {
                return false;
            }
        }
        return true;
    }

    private boolean hasAnsweredOrRefused(HostAddress address, long nowNanos) {
        if (hasRefusedConnection(address, nowNanos)) {
            return true;
        }
        long withhold = mTiming.withhold().toNanos();
        for (MemberEntry entry : mEntries.values()) {
            boolean isAtAddress = entry.mMember.peerAddress().equals(address) && !entry.mReplaced;
            if (isAtAddress
                    && entry.mEverContacted
                    && nowNanos - entry.mLastContactNanos < withhold) {
                return true;
            }
        }
        return false;
    }

    private boolean hasRefusedConnection(HostAddress address, long nowNanos) {
        Long refused = mConnectionRefusedNanos.get(address);
        return refused != null && nowNanos - refused < mTiming.withhold().toNanos();
    }

    private TreeSet<HostAddress> neighbourAddresses() {
        TreeSet<HostAddress> addresses = new TreeSet<>();
        for (InstanceListing listing : mListings.values()) {
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

    /** Represents what is known of a member. */
    private static final class MemberEntry {
        private Member mMember;
        private long mLastContactNanos;

        /** False until the member itself has sent a message. */
        private boolean mEverContacted;

        /** True if another incarnation answers at the address of the member. */
        private boolean mReplaced;

        private MemberEntry(long nowNanos) {
            mLastContactNanos = nowNanos;
        }
    }
}
