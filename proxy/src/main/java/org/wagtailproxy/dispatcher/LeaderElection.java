package org.wagtailproxy.dispatcher;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.wagtailproxy.coordination.ElectorPromise;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.leadership.Leadership;
import org.wagtailproxy.leadership.LifeSigns;
import org.wagtailproxy.leadership.MessageAge;
import org.wagtailproxy.leadership.Peer;
import org.wagtailproxy.leadership.PeerProbe;
import org.wagtailproxy.leadership.PeerStatus;
import org.wagtailproxy.leadership.PeerTable;
import org.wagtailproxy.leadership.StoreContact;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.scheduling.ClaimMode;
import org.wagtailproxy.scheduling.FencingTokenSource;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.JobId;

/**
 * Chooses the leader that this instance follows, from the status that the other instances of the
 * pool report. Confined to the event loop.
 *
 * <p>Instances probe each other over the connections that also carry jobs. A probe sends the
 * presence of this instance (identity, seniority, leader that it follows) and is answered with the
 * presence of the peer. Two consecutive probes without an answer close the connection, since it may
 * be broken without an error.
 */
final class LeaderElection implements LeadershipDoubtListener {

    /** Notified of changes of leadership and of what peers report. */
    interface Listener {

        /**
         * The leader to follow, the group that follows this instance, the set of confirmed dead
         * peers or the readiness of the leader has changed.
         */
        void onLeadershipChanged();

        /**
         * A peer that was unreachable is reachable again in the same incarnation, or this machine
         * may have been suspended.
         */
        void onPartitionHealed();

        /** A peer of the pool follows a leader outside it, since it does not know the division. */
        void onPeerFollowsOutsidePool();

        /** A peer has sent a newer configuration than this instance has. */
        void onNewerConfiguration(byte[] document);

        /** A peer supports this instance as the coordinator of the stored jobs. */
        void onSupported(InstanceName peer, long askedNanos);

        /** The list of backend servers has to be confirmed, since a lost leader may know more. */
        void onServerListDoubted();
    }

    /** Pause between ticks; a failed leader is detected within five ticks. */
    static final long TICK_MILLIS = 100;

    /** Timeout of a probe; far above a round trip between data centres. */
    static final Duration PROBE_TIMEOUT = Duration.ofMillis(220);

    /** Time for which peers are probed before this instance may lead for the first time. */
    private static final long INITIAL_PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    /** Seniority of an instance that is not registered in the store yet. */
    static final long UNREGISTERED = Long.MAX_VALUE;

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final PeerTransport mClient;
    private final FencingTokenSource mTokens;
    private final EventLog mLog;
    private final Listener mListener;
    private final LifeSigns mLifeSigns;
    private final EvacuationTracker mEvacuations;
    private final PeerTable mPeers = new PeerTable();
    private final MessageAge mMessageAge = new MessageAge();
    private long mSeniority = UNREGISTERED;
    private long mInstancesKnownNanos;
    private long mSuspendedNanos = Long.MIN_VALUE / 2;
    private boolean mInstancesKnown;
    private DataCentreScope mScope = DataCentreScope.ALL;
    private boolean mServerListOutdated;
    private boolean mLarge;
    private boolean mDraining;
    private StoreContact mStoreContact = StoreContact.ASSUMED;
    private boolean mCoordinatesStoredJobs;
    private final OverloadMonitor mOverload;
    private final ElectorPromise mPromise;

    private Option<Peer> mLeader = Option.none();
    private Set<InstanceName> mGroup = Set.of();

    /** Instances whose address refuses connections and that are not assumed to be partitioned. */
    private Set<InstanceName> mConfirmedDead = Set.of();

    private long mConfigurationVersion;
    private byte[] mConfiguration = new byte[0];

    LeaderElection(
            DispatcherSettings settings,
            EventLoop loop,
            PeerTransport client,
            FencingTokenSource tokens,
            EventLog log,
            LifeSigns lifeSigns,
            EvacuationTracker evacuations,
            Listener listener) {
        mSettings = settings;
        mLoop = loop;
        mClient = client;
        mTokens = tokens;
        mLog = log;
        mLifeSigns = lifeSigns;
        mEvacuations = evacuations;
        mListener = listener;
        mOverload = new OverloadMonitor(loop, log);
        mPromise = new ElectorPromise(loop.nowNanos());
    }

    /**
     * Updates the registered instances that may follow the same leader.
     *
     * @param samePool tests whether a data centre belongs to the pool
     * @param scope the data centres of the pool; not all of them if the fleet is divided into
     *     several pools because of its size
     * @param large true if the fleet is large, divided or not
     */
    void updateInstances(
            Collection<InstanceRecord> records,
            Predicate<DataCentre> samePool,
            DataCentreScope scope,
            boolean large) {
        if (!mInstancesKnown) {
            mInstancesKnown = true;
            mInstancesKnownNanos = mLoop.nowNanos();
        }
        List<InstanceRecord> others = new ArrayList<>(records);
        others.removeIf(record -> record.name().equals(mSettings.name()));
        mScope = scope;
        mLarge = large;
        mPeers.setLarge(large);
        mPeers.updateRegistered(others, samePool, !mScope.equals(DataCentreScope.ALL));
        if (mLeader.exists(leader -> !isSelf(leader) && mPeers.find(leader.name()).isEmpty())) {
            electLeader();
        }
        sendProbes(true);
    }

    void onRegistered(long seniority) {
        if (mSeniority == UNREGISTERED) {
            mSeniority = seniority;
            mTokens.observeCount(seniority);
            electLeader();
        }
    }

    void startDraining() {
        mDraining = true;
        electLeader();
        sendProbes(true);
    }

    /** Updates the contact to the store by a check, which is told whether a peer has lost it. */
    void updateStoreContact(Function<Boolean, StoreContact> check) {
        StoreContact contact = check.apply(mPeers.hasPeerWithoutStore());
        if (mStoreContact != contact) {
            mStoreContact = contact;
            electLeader();
        }
    }

    /** Updates whether this instance coordinates stored jobs. */
    void updateCoordinatesStoredJobs(boolean coordinatesStoredJobs) {
        mCoordinatesStoredJobs = coordinatesStoredJobs;
    }

    /** Updates whether the list of backend servers may contain some that are no longer listed. */
    void updateServerListOutdated(boolean outdated) {
        mServerListOutdated = outdated;
    }

    void updateConfiguration(long version, byte[] document) {
        mConfigurationVersion = version;
        mConfiguration = document;
    }

    Option<Peer> leader() {
        return mLeader;
    }

    /** Checks whether there is a leader that has confirmed that it leads. */
    boolean isLeaderReady() {
        return mLeader.exists(
                leader -> isSelf(leader) || leader.follows().equals(Option.some(leader.name())));
    }

    boolean isSelf(Peer peer) {
        return peer.name().equals(mSettings.name());
    }

    boolean isLeader() {
        return mLeader.exists(this::isSelf);
    }

    /**
     * Checks whether the leader is another instance and reports that it coordinates stored jobs.
     */
    boolean leaderCoordinatesStoredJobs() {
        return mLeader.exists(leader -> mPeers.coordinatesStoredJobs(leader.name()));
    }

    /** Returns this instance and those that follow it, nothing if it does not lead. */
    Set<InstanceName> group() {
        return isLeader() ? mGroup : Set.of();
    }

    /** Returns the instances that are known to be registered. */
    Set<InstanceName> registeredInstances() {
        Set<InstanceName> registered = mPeers.names(peer -> true);
        registered.add(mSettings.name());
        return registered;
    }

    /** Returns this instance and the peers that answer probes, as a set that may be changed. */
    Set<InstanceName> reachableInstances() {
        Set<InstanceName> reachable = mPeers.names(Peer::reachable);
        reachable.add(mSettings.name());
        return reachable;
    }

    boolean isReachable(InstanceName name) {
        return mPeers.find(name).exists(Peer::reachable);
    }

    /**
     * Checks whether a submission has been held up on its way, so that the home instance may have
     * given it up and submitted the job to another leader.
     *
     * @param forwarded true if the home is the leader of another data centre, which follows itself
     * @param clockNanos the clock of this instance that the submission carries
     */
    boolean isOutdated(JobId job, HomeProcess home, boolean forwarded, long clockNanos) {
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - clockNanos);
        InstanceName self = mSettings.name();
        boolean hasLeft =
                mPeers.mayHaveLeftSince(home.name(), self, clockNanos)
                        || !forwarded && mLifeSigns.mayHaveLeftSince(home, self, clockNanos);
        boolean outdated =
                mMessageAge.isOutdated(clockNanos, mLoop.nowNanos())
                        || hasLeft && clockNanos != MessageAge.UNKNOWN_CLOCK_NANOS;
        if (outdated) {
            mLog.event(EventName.SUBMISSION_OUTDATED)
                    .with(EventField.JOB, job)
                    .with(EventField.PEER, home.name())
                    .with(EventField.MILLISECONDS, ageMillis)
                    .info();
        }
        return outdated;
    }

    /** Returns a time at or before which a probe was sent, however long it was held up. */
    long sentNanos(Presence probe) {
        return mMessageAge.sentNanos(
                probe.getReceiverClockNanos(), probe.getReceiverClockAgeMillis(), mLoop.nowNanos());
    }

    /** Returns the clock that a peer has reported last, for the submissions to it. */
    long clockNanos(Peer peer) {
        return mPeers.clockNanos(peer.name());
    }

    /** Records that a peer follows this instance, since it has submitted a job to it. */
    void recordFollower(InstanceName name) {
        mPeers.recordFollowing(name, mSettings.name());
    }

    /** Returns the backend servers on which a leader may start tasks. */
    DataCentreScope scope(Peer leader) {
        return isSelf(leader) ? ownScope() : mPeers.scope(leader.name());
    }

    private DataCentreScope ownScope() {
        return mScope.withUnlisted(mServerListOutdated);
    }

    /** Returns the address that a peer listens on, none if it is not known. */
    Option<HostAddress> address(InstanceName name) {
        return mPeers.find(name).map(Peer::address);
    }

    /** Returns the claim mode of this instance for a backend server. */
    ClaimMode claimMode(ServerEntry server) {
        Set<InstanceName> group = new TreeSet<>(mGroup);
        group.addAll(mConfirmedDead);
        Set<InstanceName> instances = instancesIn(server.dataCentre());
        return Leadership.of(self()).claimMode(server.id(), isLeader(), group, instances);
    }

    private Set<InstanceName> instancesIn(DataCentre dataCentre) {
        Set<InstanceName> instances = mPeers.names(peer -> peer.dataCentre().equals(dataCentre));
        if (dataCentre.equals(mSettings.dataCentre())) {
            instances.add(mSettings.name());
        }
        return instances;
    }

    /**
     * Records that another instance has claimed a backend server. If the preferred owner's address
     * refuses connections, it may still be alive behind a network partition; its servers are then
     * left to it.
     */
    @Override
    public void onFenced(ServerEntry server) {
        Leadership.preferredOwner(server.id(), instancesIn(server.dataCentre()))
                .filter(mPeers::markPartitioned)
                .forEach(owner -> mLoop.execute(this::electLeader));
    }

    /**
     * Records that this machine may have been suspended; the peers may follow another leader by
     * now.
     */
    @Override
    public void onPossibleSuspension() {
        mSuspendedNanos = mLoop.nowNanos();
        mPeers.onSuspension();
        mMessageAge.onSuspension(mSuspendedNanos);
        mLifeSigns.onSuspension(mSuspendedNanos);
        mListener.onPartitionHealed();
        sendProbes(true);
    }

    /** Asks the peers for proof that none of them is the former leader and still leads. */
    @Override
    public void onJobOfLostLeader() {
        sendProbes(true);
        mListener.onServerListDoubted();
    }

    @Override
    public long noOtherLeaderNanos() {
        return mPeers.noPeerLedNanos(mLoop.nowNanos());
    }

    @Override
    public boolean hasUnconfirmedPeers() {
        return mPeers.hasUnconfirmedPeers();
    }

    /**
     * Checks whether the peers have not had time to answer the probes that were sent since this
     * machine may have been suspended.
     */
    boolean awaitsPeersAfterSuspension() {
        return hasUnconfirmedPeers()
                && mLoop.nowNanos() - mSuspendedNanos <= PROBE_TIMEOUT.toNanos();
    }

    /**
     * Marks unresponsive peers as unreachable, elects the leader anew and probes the peers that are
     * due.
     *
     * @param waitsForHomes true if all peers are to be probed although this instance does not lead
     */
    void tick(boolean waitsForHomes) {
        if (mOverload.tick()) {
            sendProbes(true);
        }
        mPeers.unresponsivePeers(mLoop.nowNanos())
                .forEach(name -> markUnreachable(name, "silent", true));
        electLeader();
        sendProbes(isLeader() || waitsForHomes);
    }

    /**
     * Promises to support another instance, or this one, as the coordinator of the stored jobs.
     * Returns false if this instance follows another leader or is bound by an earlier promise.
     */
    boolean promiseSupport(InstanceName coordinator) {
        return mLeader.exists(leader -> leader.name().equals(coordinator))
                && mPromise.support(coordinator, mLoop.nowNanos());
    }

    /** Returns the answer to a probe. It carries the configuration if the peer has an older one. */
    Presence.Builder answerProbe(Presence presence) {
        boolean isRestored =
                PresenceMessages.status(presence)
                        .exists(status -> mPeers.restoreFormerPeer(status.name()));
        updatePeerStatus(presence);
        if (isRestored) {
            sendProbes(true);
        }
        Presence.Builder answer = presence();
        if (presence.getConfigurationVersion() < mConfigurationVersion) {
            answer.setConfiguration(ByteString.copyFrom(mConfiguration));
        }
        return answer;
    }

    private void sendProbes(boolean includeAll) {
        Option<InstanceName> leader = mLeader.map(Peer::name);
        for (PeerProbe probe : mPeers.dueProbes(includeAll, leader, mLoop.nowNanos())) {
            long clockNanos = mPeers.clockNanos(probe.peer());
            long ageNanos = mPeers.clockAgeNanos(probe.peer(), mLoop.nowNanos());
            Presence.Builder presence =
                    PresenceMessages.setReceiverClock(presence(), clockNanos, ageNanos);
            Envelope.Builder request = Envelope.newBuilder().setPresence(presence);
            mClient.call(probe.address(), request, PROBE_TIMEOUT)
                    .thenAccept(answer -> mLoop.execute(() -> onProbeResult(probe, answer)));
        }
    }

    private void onProbeResult(PeerProbe probe, Either<Failure, Envelope> answer) {
        InstanceName peer = probe.peer();
        if (answer.isRight() && answer.get().hasPresence()) {
            Presence presence = answer.get().getPresence();
            if (presence.getName().equals(peer.value())) {
                onProbeAnswered(probe, presence);
                return;
            }
            mPeers.onTimeout(probe);
            // The connection works and carries the calls to the instance that answers.
            markUnreachable(peer, "another instance answers", false);
        } else if (answer.isLeft() && answer.getLeft().kind() == FailureKind.PEER_REFUSED) {
            mPeers.onConnectionRefused(probe);
            markUnreachable(peer, "refused", true);
            electLeader();
        } else if (mPeers.onTimeout(probe)) {
            mClient.closeConnection(probe.address());
        }
    }

    private void onProbeAnswered(PeerProbe probe, Presence presence) {
        PeerTable.ContactChange contact =
                mPeers.onAnswer(probe, presence.getSeniority(), mLoop.nowNanos());
        mLifeSigns.recordAnswer(
                PresenceMessages.lifeSign(presence, probe.peer(), probe.sentNanos()),
                mLoop.nowNanos());
        PresenceMessages.status(presence)
                .map(status -> status.follows().filter(name -> !name.equals(mSettings.name())))
                .forEach(follows -> mPeers.onFollowsAnswered(probe, follows));
        if (contact == PeerTable.ContactChange.HEALED) {
            mListener.onPartitionHealed();
        }
        if (contact != PeerTable.ContactChange.UNCHANGED) {
            mLog.event(EventName.PEER_REACHED).with(EventField.PEER, probe.peer()).info();
        }
        updatePeerStatus(presence);
        if (presence.getSupportsReceiver()) {
            mListener.onSupported(probe.peer(), probe.sentNanos());
        }
        if (presence.getConfigurationVersion() > mConfigurationVersion
                && !presence.getConfiguration().isEmpty()) {
            mListener.onNewerConfiguration(presence.getConfiguration().toByteArray());
        }
        electLeader();
    }

    private void updatePeerStatus(Presence presence) {
        mTokens.observe(presence.getHighestToken());
        mEvacuations.onPresence(presence);
        Option<PeerStatus> status = PresenceMessages.status(presence);
        if (status.exists(each -> mPeers.followsOutsidePool(each, mSettings.name()))) {
            mListener.onPeerFollowsOutsidePool();
        }
        if (status.exists(each -> mPeers.updateStatus(each, mLoop.nowNanos()))) {
            electLeader();
        }
    }

    private void markUnreachable(InstanceName name, String reason, boolean closesConnection) {
        mLifeSigns.onUnreachable(name);
        if (mPeers.markUnreachable(name)) {
            mLog.event(EventName.PEER_LOST)
                    .with(EventField.PEER, name)
                    .with(EventField.REASON, reason)
                    .warn();
        }
        if (closesConnection) {
            address(name).forEach(mClient::closeConnection);
        }
    }

    private void electLeader() {
        boolean probesCompleted = hasCompletedInitialProbes();
        List<Peer> peers = mPeers.peers();
        Leadership leadership = Leadership.of(self());
        if (mLarge) {
            leadership = leadership.preferringLargeInstances(peers);
        }
        Peer leader = leadership.chooseLeader(peers);
        Set<InstanceName> group = leadership.groupMembers(peers);
        if (isSelf(leader)
                && !(mInstancesKnown
                        && Leadership.mayStartLeading(
                                probesCompleted, group, registeredInstances()))) {
            return;
        }
        boolean wasReady = isLeaderReady();
        boolean leaderChanged = !mLeader.map(Peer::name).equals(Option.some(leader.name()));
        Set<InstanceName> confirmedDead = mPeers.confirmedDead();
        boolean groupChanged =
                isSelf(leader) && !(group.equals(mGroup) && confirmedDead.equals(mConfirmedDead));
        mGroup = group;
        mConfirmedDead = confirmedDead;
        mLeader = Option.some(leader);
        boolean becameReady = !wasReady && isLeaderReady();
        if (!leaderChanged && !groupChanged && !becameReady) {
            return;
        }
        if (leaderChanged) {
            mOverload.onWorkChanged();
            mLog.event(EventName.LEADER_FOLLOWED)
                    .with(EventField.PEER, leader.name())
                    .with(EventField.COUNT, group.size())
                    .info();
            sendProbes(true);
        }
        mListener.onLeadershipChanged();
    }

    /**
     * Checks whether every registered peer has answered a probe or is confirmed dead, or has had
     * time to answer.
     */
    private boolean hasCompletedInitialProbes() {
        if (!mInstancesKnown) {
            return false;
        }
        if (mLoop.nowNanos() - mInstancesKnownNanos > INITIAL_PROBE_NANOS) {
            return true;
        }
        if (mSeniority == UNREGISTERED) {
            return false;
        }
        return mPeers.allAnsweredOrConfirmedDead();
    }

    private Peer self() {
        return new Peer(
                mSettings.name(),
                mSettings.dataCentre(),
                mSettings.peerAddress(),
                mSettings.processorMillis(),
                mSeniority,
                true,
                mDraining,
                mStoreContact,
                mOverload.isOverloaded(),
                mLeader.map(Peer::name));
    }

    /** Returns the presence that this instance reports to its peers. */
    Presence.Builder presence() {
        return mEvacuations
                .addTo(PresenceMessages.setStoreContact(Presence.newBuilder(), mStoreContact))
                .setName(mSettings.name().value())
                .setIncarnation(MessageConverter.incarnation(mSettings.incarnation()))
                .setDataCentre(mSettings.dataCentre().value())
                .setPeerAddress(mSettings.peerAddress().toString())
                .setSeniority(mSeniority)
                .setFollows(mLeader.map(leader -> leader.name().value()).getOrElse(""))
                .setDraining(mDraining)
                .setKeepsJobs(mCoordinatesStoredJobs)
                .setOverloaded(mOverload.isOverloaded())
                .setScope(WorkMessages.scope(ownScope()))
                .setClockNanos(mLoop.nowNanos())
                .setHighestToken(mTokens.highest())
                .setConfigurationVersion(mConfigurationVersion);
    }
}
