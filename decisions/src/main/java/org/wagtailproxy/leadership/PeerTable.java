package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.workload.DataCentreScope;

/**
 * Tracks the state of the other instances of the pool and schedules the liveness probes to them.
 *
 * <p>Detects dead, paused and partitioned peers within half a second. In a large fleet only the
 * leader and its successor candidates are probed in every tick, so that the number of probes does
 * not grow with the square of the pool size. Not thread-safe; confined to one thread.
 */
public final class PeerTable {

    /** Time without an answer after which a peer is unresponsive; two answers may get lost. */
    static final long UNRESPONSIVE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(520);

    /** Time without an answer after which a peer that may be loading its code is unresponsive. */
    static final long WARM_UP_UNRESPONSIVE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1100);

    /**
     * Timeouts in a row after which a connection is considered broken; a busy peer may miss one.
     */
    private static final int TIMEOUTS_BEFORE_RECONNECT = 2;

    /** Number of the most senior reachable peers that are probed in every tick of a large fleet. */
    private static final int MAX_SUCCESSOR_CANDIDATES = 2;

    /** Interval between probes to the other peers of a large fleet; a few ticks. */
    static final long RARE_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    /**
     * Longest time in milliseconds by which one of two peers that lose contact may find the other
     * one unresponsive later, apart from the times of their probes and ticks.
     */
    public static final long MAX_DETECTION_SPREAD_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(
                    WARM_UP_UNRESPONSIVE_AFTER_NANOS
                            + RARE_PROBE_INTERVAL_NANOS
                            - UNRESPONSIVE_AFTER_NANOS);

    private final Map<InstanceName, PeerState> mPeers = new TreeMap<>();

    private final UntrackedInstances mUntrackedInstances = new UntrackedInstances();
    private int mSuspensions;
    private boolean mDivided;
    private boolean mLarge;
    private Predicate<DataCentre> mIsPooled = dataCentre -> true;

    /** How an answer changes the reachability of a peer. */
    public enum ContactChange {
        /** The peer was reachable before, or is no longer in the table. */
        UNCHANGED,
        /** The peer was not reachable before. */
        REACHED,
        /** The peer is reachable again in the same incarnation. */
        HEALED
    }

    /** Creates an empty table. */
    public PeerTable() {}

    /**
     * Updates the registered instances. Removes the peers outside the pool, and those that are
     * neither registered nor reachable.
     *
     * @param records the other instances of the pool, not null
     * @param isPooled checks whether a data centre belongs to the pool, which may have been
     *     divided; not null
     * @param divided true if the fleet is large and therefore divided into several pools
     */
    public void updateRegistered(
            Collection<InstanceRecord> records, Predicate<DataCentre> isPooled, boolean divided) {
        mDivided = divided;
        mPeers.values().removeIf(state -> !isPooled.test(state.mFirstRecord.dataCentre()));
        mPeers.values().forEach(state -> state.mRegistered = false);
        for (InstanceRecord record : records) {
            PeerState state = mPeers.computeIfAbsent(record.name(), name -> newPeer(record));
            state.mRegistered = true;
            state.mAddress = record.peerAddress();
            state.mProcessorMillis = record.processorMillis();
        }
        mPeers.values().stream()
                .filter(PeerState::isGone)
                .forEach(
                        state ->
                                mUntrackedInstances.onRemoved(
                                        state.toRecord(),
                                        state.mProbedNanos,
                                        state.mSeniorityWhenLost));
        mPeers.values().removeIf(PeerState::isGone);
        mIsPooled = isPooled;
    }

    /**
     * Sets whether the fleet is large although it is not divided.
     *
     * @param large true if most peers are to be probed less frequently
     */
    public void setLarge(boolean large) {
        mLarge = large;
    }

    /**
     * Makes a former peer a peer again, since it has sent a probe and hence is alive. Its
     * registration may have run out in a network partition that has just healed; until it is
     * renewed, the peer may already submit jobs.
     *
     * @param name the name of the instance that has sent a probe, not null
     * @return true if it was a former peer
     */
    public boolean restoreFormerPeer(InstanceName name) {
        Option<InstanceRecord> former =
                mUntrackedInstances
                        .takeRemoved(name)
                        .filter(record -> mIsPooled.test(record.dataCentre()))
                        .filter(record -> !mPeers.containsKey(name));
        former.forEach(record -> mPeers.put(name, newPeer(record)));
        return former.isDefined();
    }

    private PeerState newPeer(InstanceRecord record) {
        PeerState state = new PeerState(record);
        state.mAddress = record.peerAddress();
        state.mProcessorMillis = record.processorMillis();
        state.mSeniorityWhenLost = mUntrackedInstances.seniorityWhenLost(record.name());
        return state;
    }

    /**
     * Returns the probes to send now.
     *
     * @param all true to probe every peer without an outstanding probe
     * @param leader the leader that is followed, none if there is none
     * @param nowNanos the monotonic time in nanoseconds
     * @return the probes to send, never null; the result of each has to be reported to {@link
     *     #onAnswer}, {@link #onTimeout} or {@link #onConnectionRefused}
     */
    public List<PeerProbe> dueProbes(boolean all, Option<InstanceName> leader, long nowNanos) {
        Set<InstanceName> frequentlyProbed =
                all || !(mLarge || mDivided) ? Set.of() : leaderAndSuccessorCandidates(leader);
        List<PeerProbe> probes = new ArrayList<>();
        for (PeerState state : mPeers.values()) {
            state.mProbedRarely =
                    state.mReachable
                            && !frequentlyProbed.isEmpty()
                            && !frequentlyProbed.contains(state.name());
            state.mLastAnswerMayBeOlder |= state.mProbedRarely;
            boolean recentlyProbed =
                    state.mProbedRarely
                            && nowNanos - state.mProbedNanos < RARE_PROBE_INTERVAL_NANOS;
            if (!state.mProbeOutstanding && !recentlyProbed) {
                state.mProbeOutstanding = true;
                state.mProbedNanos = nowNanos;
                probes.add(new PeerProbe(state.name(), state.mAddress, nowNanos, mSuspensions));
            }
        }
        return probes;
    }

    private Set<InstanceName> leaderAndSuccessorCandidates(Option<InstanceName> leader) {
        Set<InstanceName> candidates = new TreeSet<>();
        leader.forEach(candidates::add);
        mPeers.values().stream()
                .filter(state -> state.mReachable && !state.mDraining)
                .sorted(Comparator.comparingLong(state -> state.mSeniority))
                .limit(MAX_SUCCESSOR_CANDIDATES)
                .forEach(state -> candidates.add(state.name()));
        return candidates;
    }

    /**
     * Records the answer to a probe.
     *
     * @param probe the probe, not null
     * @param seniority the seniority that the peer reports
     * @param nowNanos the monotonic time in nanoseconds
     * @return the change of reachability, never null
     */
    public ContactChange onAnswer(PeerProbe probe, long seniority, long nowNanos) {
        PeerState state = mPeers.get(probe.peer());
        if (state == null) {
            return ContactChange.UNCHANGED;
        }
        state.mProbeOutstanding = false;
        state.mAnsweredNanos = nowNanos;
        state.mRefusesConnections = false;
        state.mPartitioned = false;
        state.mConsecutiveTimeouts = 0;
        state.mLastAnswerMayBeOlder = state.mProbedRarely;
        // An answer to a probe sent before a suspension does not show whom the peer follows since.
        state.mUnconfirmed &= probe.suspensions() != mSuspensions;
        if (state.mReachable) {
            return ContactChange.UNCHANGED;
        }
        state.mReachable = true;
        state.mReachedNanos = nowNanos;
        return state.mSeniorityWhenLost == seniority ? ContactChange.HEALED : ContactChange.REACHED;
    }

    /**
     * Records whom a peer follows according to its answer to a probe. Call after {@link #onAnswer}.
     *
     * @param probe the probe, not null
     * @param follows the leader that the peer follows, none if it has none or follows this
     *     instance; not null
     */
    public void onFollowsAnswered(PeerProbe probe, Option<InstanceName> follows) {
        PeerState state = mPeers.get(probe.peer());
        if (state == null) {
            return;
        }
        if (!follows.contains(probe.peer())) {
            state.mNotLeadingNanos = probe.sentNanos();
        }
        follows.filter(leader -> !mPeers.containsKey(leader))
                .forEach(leader -> mUntrackedInstances.onFollowed(leader, probe.sentNanos()));
    }

    /**
     * Returns the latest time at which no other instance led, as far as the answers to probes prove
     * it: each peer has answered a later probe that it does not lead, and no instance that is not a
     * peer is known to have led lately. A refused connection is no proof, since a network partition
     * may refuse it on behalf of a leader that still reaches its backend servers.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the monotonic time in nanoseconds, {@link Long#MIN_VALUE} if there is no proof
     */
    public long noPeerLedNanos(long nowNanos) {
        if (mUntrackedInstances.mayLead(mPeers.keySet(), nowNanos)) {
            return Long.MIN_VALUE;
        }
        long nanos = nowNanos;
        for (PeerState state : mPeers.values()) {
            nanos = Math.min(nanos, state.mNotLeadingNanos);
        }
        return nanos;
    }

    /**
     * Records that a probe was not answered in time.
     *
     * @param probe the probe, not null
     * @return true if the connection may be broken and is to be closed
     */
    public boolean onTimeout(PeerProbe probe) {
        PeerState state = mPeers.get(probe.peer());
        if (state == null) {
            return false;
        }
        state.mProbeOutstanding = false;
        return ++state.mConsecutiveTimeouts >= TIMEOUTS_BEFORE_RECONNECT;
    }

    /**
     * Records that the address of a peer refused the connection, which confirms that the peer is
     * dead unless it is known to be partitioned.
     *
     * @param probe the probe, not null
     */
    public void onConnectionRefused(PeerProbe probe) {
        PeerState state = mPeers.get(probe.peer());
        if (state != null) {
            state.mProbeOutstanding = false;
            state.mRefusesConnections = !state.mPartitioned;
        }
    }

    /**
     * Marks a peer as unreachable.
     *
     * @param name the name of the peer, not null
     * @return true if it was reachable
     */
    public boolean markUnreachable(InstanceName name) {
        PeerState state = mPeers.get(name);
        if (state == null) {
            return false;
        }
        boolean wasReachable = state.mReachable;
        if (wasReachable) {
            state.mReachable = false;
            state.mSeniorityWhenLost = state.mSeniority;
        }
        state.mFollows = Option.none();
        return wasReachable;
    }

    /**
     * Returns the reachable peers that have not answered for too long.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return their names, never null
     */
    public List<InstanceName> unresponsivePeers(long nowNanos) {
        List<InstanceName> names = new ArrayList<>();
        for (PeerState state : mPeers.values()) {
            if (state.isUnresponsive(nowNanos)) {
                names.add(state.name());
            }
        }
        return names;
    }

    /**
     * Updates the status that a peer reports of itself. One that was held up on its way and
     * overtaken by a later one does not count.
     *
     * @param status the reported status, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the change may affect who leads
     */
    public boolean updateStatus(PeerStatus status, long nowNanos) {
        PeerState state = mPeers.get(status.name());
        if (state == null || state.isLaterThan(status)) {
            return false;
        }
        boolean changed =
                state.mDraining != status.draining()
                        || state.mStoreContact != status.storeContact()
                        || state.mOverloaded != status.overloaded()
                        || !state.mFollows.equals(status.follows());
        state.mStatusNanos = nowNanos;
        state.mSeniority = status.seniority();
        state.mDraining = status.draining();
        state.mFollows = status.follows();
        state.mCoordinatesStoredJobs = status.coordinatesStoredJobs();
        state.mStoreContact = status.storeContact();
        state.mOverloaded = status.overloaded();
        state.mScope = status.scope();
        state.mClockNanos = status.clockNanos();
        return changed;
    }

    /**
     * Checks whether a peer of a divided fleet follows a leader outside the pool, because it does
     * not know of the division yet. Its jobs may run on backend servers outside the pool.
     *
     * @param status the status that an instance reports of itself, not null
     * @param self the name of this instance, not null
     * @return true if the instance is a peer and its leader is neither one nor this instance
     */
    public boolean followsOutsidePool(PeerStatus status, InstanceName self) {
        return mDivided
                && mPeers.containsKey(status.name())
                && status.follows()
                        .exists(leader -> !leader.equals(self) && !mPeers.containsKey(leader));
    }

    /**
     * Records that a peer follows a leader, as a request of the peer shows.
     *
     * @param name the name of the peer, not null
     * @param leader the leader that it follows, not null
     */
    public void recordFollowing(InstanceName name, InstanceName leader) {
        PeerState state = mPeers.get(name);
        if (state != null) {
            state.mFollows = Option.some(leader);
        }
    }

    /**
     * Records that another instance controls a server whose preferred owner is confirmed dead as
     * far as is known here. The owner may be alive behind a network partition although its address
     * refuses connections.
     *
     * @param owner the preferred owner, not null
     * @return true if it was confirmed dead and no longer is
     */
    public boolean markPartitioned(InstanceName owner) {
        PeerState state = mPeers.get(owner);
        if (state == null || !state.mRefusesConnections) {
            return false;
        }
        state.mRefusesConnections = false;
        state.mPartitioned = true;
        return true;
    }

    /**
     * Records that this machine may have been suspended, so that the peers may follow another
     * leader by now.
     */
    public void onSuspension() {
        mSuspensions++;
        mPeers.values().forEach(state -> state.mUnconfirmed = state.mReachable);
    }

    /**
     * Checks whether it is not known yet whom some peers follow since this machine was suspended.
     *
     * @return true if a reachable peer has not answered since
     */
    public boolean hasUnconfirmedPeers() {
        return mPeers.values().stream().anyMatch(state -> state.mUnconfirmed && state.mReachable);
    }

    /**
     * Returns the peers.
     *
     * @return all peers in the order of their names, never null
     */
    public List<Peer> peers() {
        return mPeers.values().stream().map(PeerState::toPeer).toList();
    }

    /**
     * Returns the names of some peers.
     *
     * @param filter selects the peers, not null
     * @return a set that the caller may change, never null
     */
    public Set<InstanceName> names(Predicate<Peer> filter) {
        Set<InstanceName> names = new TreeSet<>();
        for (PeerState state : mPeers.values()) {
            if (filter.test(state.toPeer())) {
                names.add(state.name());
            }
        }
        return names;
    }

    /**
     * Checks whether a reachable peer has lost the store.
     *
     * @return true if one reports so
     */
    public boolean hasPeerWithoutStore() {
        for (PeerState state : mPeers.values()) {
            if (state.mReachable && state.mStoreContact == StoreContact.LOST) {
                return true;
            }
        }
        return false;
    }

    /**
     * Finds a peer by its name.
     *
     * @param name the name of the peer, not null
     * @return the peer, none if it is not known
     */
    public Option<Peer> find(InstanceName name) {
        return Option.of(mPeers.get(name)).map(PeerState::toPeer);
    }

    /**
     * Returns the data centres on whose backend servers a peer starts tasks while it leads.
     *
     * @param name the name of the peer, not null
     * @return the data centres that it has reported last; if it has reported none, all, with
     *     servers that may not be listed; never null
     */
    public DataCentreScope scope(InstanceName name) {
        PeerState state = mPeers.get(name);
        return state == null ? PeerState.UNKNOWN_SCOPE : state.mScope;
    }

    /**
     * Checks whether a peer follows another leader than this instance, as far as it has reported,
     * and whether it may have sent a request before that report.
     *
     * @param name the name of the peer, not null
     * @param self the name of this instance, not null
     * @param sentNanos a monotonic time in nanoseconds at or before which the request was sent
     * @return true if the peer may have left since it sent the request
     */
    public boolean mayHaveLeftSince(InstanceName name, InstanceName self, long sentNanos) {
        PeerState state = mPeers.get(name);
        return state != null
                && state.mFollows.exists(leader -> !leader.equals(self))
                && state.mStatusNanos >= sentNanos;
    }

    /**
     * Returns the monotonic clock that a peer has reported last.
     *
     * @param name the name of the peer, not null
     * @return its clock in nanoseconds, {@link MessageAge#UNKNOWN_CLOCK_NANOS} if it is not known
     */
    public long clockNanos(InstanceName name) {
        PeerState state = mPeers.get(name);
        return state == null ? MessageAge.UNKNOWN_CLOCK_NANOS : state.mClockNanos;
    }

    /**
     * Returns for how long the clock that a peer has reported last is known.
     *
     * @param name the name of the peer, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the time in nanoseconds, 0 if the peer has reported no clock
     */
    public long clockAgeNanos(InstanceName name, long nowNanos) {
        PeerState state = mPeers.get(name);
        boolean isKnown = state != null && state.mClockNanos != MessageAge.UNKNOWN_CLOCK_NANOS;
        return isKnown ? nowNanos - state.mStatusNanos : 0;
    }

    /**
     * Checks whether a peer reports that it coordinates the stored jobs.
     *
     * @param name the name of the peer, not null
     * @return true if it does
     */
    public boolean coordinatesStoredJobs(InstanceName name) {
        PeerState state = mPeers.get(name);
        return state != null && state.mCoordinatesStoredJobs;
    }

    /**
     * Returns the peers that are confirmed dead: their addresses refuse connections, and they are
     * not known to be partitioned.
     *
     * @return their names, never null
     */
    public Set<InstanceName> confirmedDead() {
        Set<InstanceName> names = new TreeSet<>();
        for (PeerState state : mPeers.values()) {
            if (state.mRefusesConnections) {
                names.add(state.name());
            }
        }
        return names;
    }

    /**
     * Checks whether every peer is reachable or confirmed dead.
     *
     * @return true if no peer is unresponsive
     */
    public boolean allAnsweredOrConfirmedDead() {
        return mPeers.values().stream()
                .allMatch(state -> state.mReachable || state.mRefusesConnections);
    }
}
