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
import java.util.function.Predicate;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.leadership.Leadership;
import org.wagtailproxy.leadership.Majority;
import org.wagtailproxy.leadership.Peer;
import org.wagtailproxy.leadership.PeerProbe;
import org.wagtailproxy.leadership.PeerTable;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.scheduling.ClaimMode;
import org.wagtailproxy.scheduling.FencingTokenSource;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;

/**
 * Knows which instances of the pool are alive and whom they follow. Confined to the event loop.
 *
 * <p>Presence is asked for on the connections that jobs are passed on over. Two answers in a row
 * that fail to come close the connection, since it may have gone silent.
 */
final class LeaderElection implements LeaderScheduler.Listener {

    /** Hears of changes. */
    interface Listener {

        /** The leader to follow, or the group that follows this instance, has changed. */
        void leadershipChanged();

        /** A peer that was out of reach is back in the same life. */
        void healed();

        /** A peer holds a newer configuration. */
        void configuration(byte[] document);
    }

    /** Pause between rounds; a dead leader is noticed within five rounds. */
    static final long ROUND_MILLIS = 100;

    /** How long an answer may take; far above a round trip between data centres. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(220);

    /** Time in which peers are asked before this instance may lead for the first time. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    /** Seniority of an instance that the store has not registered yet. */
    private static final long UNREGISTERED = Long.MAX_VALUE;

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final PeerClient mClient;
    private final FencingTokenSource mTokens;
    private final EventLog mLog;
    private final Listener mListener;
    private final PeerTable mPeers = new PeerTable();
    private long mSeniority = UNREGISTERED;
    private long mListedNanos;
    private boolean mListed;
    private boolean mDivided;
    private boolean mDraining;
    private boolean mStoreless;

    private Option<Peer> mLeader = Option.none();
    private Set<InstanceName> mGroup = Set.of();

    /** Instances whose address refuses connections and that do not seem to live behind a cut. */
    private Set<InstanceName> mDead = Set.of();

    private long mConfigurationVersion;
    private byte[] mConfiguration = new byte[0];

    LeaderElection(
            DispatcherSettings settings,
            EventLoop loop,
            PeerClient client,
            FencingTokenSource tokens,
            EventLog log,
            Listener listener) {
        mSettings = settings;
        mLoop = loop;
        mClient = client;
        mTokens = tokens;
        mLog = log;
        mListener = listener;
    }

    /**
     * Takes over the registered instances that may follow the same leader.
     *
     * @param pooled tests whether a data centre belongs to the pool
     * @param divided true if the fleet has several pools, for it is large
     */
    void list(Collection<InstanceRecord> records, Predicate<DataCentre> pooled, boolean divided) {
        if (!mListed) {
            mListed = true;
            mListedNanos = mLoop.nowNanos();
        }
        List<InstanceRecord> others = new ArrayList<>(records);
        others.removeIf(record -> record.name().equals(mSettings.name()));
        mPeers.updateRegistered(others, pooled, divided);
        mDivided = divided;
        if (mLeader.exists(leader -> !isSelf(leader) && mPeers.find(leader.name()).isEmpty())) {
            reconsider();
        }
        ask(true);
    }

    void registered(long seniority) {
        if (mSeniority == UNREGISTERED) {
            mSeniority = seniority;
            mTokens.observeCount(seniority);
            reconsider();
        }
    }

    void drain() {
        mDraining = true;
        reconsider();
        ask(true);
    }

    /** Takes over whether stored jobs are kept and the store is out of reach from here. */
    void storeless(boolean storeless) {
        if (mStoreless != storeless) {
            mStoreless = storeless;
            reconsider();
        }
    }

    void configuration(long version, byte[] document) {
        mConfigurationVersion = version;
        mConfiguration = document;
    }

    Option<Peer> leader() {
        return mLeader;
    }

    /** Tests whether there is a leader that knows that it leads. */
    boolean leaderIsReady() {
        return mLeader.exists(
                leader -> isSelf(leader) || leader.follows().equals(Option.some(leader.name())));
    }

    boolean isSelf(Peer peer) {
        return peer.name().equals(mSettings.name());
    }

    boolean leads() {
        return mLeader.exists(this::isSelf);
    }

    /** Tests whether the leader, if it is another instance, says that it keeps stored jobs. */
    boolean leaderKeepsJobs() {
        return mLeader.exists(leader -> mPeers.coordinatesStoredJobs(leader.name()));
    }

    /** Tests whether this instance leads a majority, and so may keep the stored jobs. */
    boolean leadsMajority() {
        return leads() && Majority.isMajority(mGroup, registered());
    }

    private Set<InstanceName> registered() {
        Set<InstanceName> registered = new TreeSet<>();
        mPeers.peers().forEach(peer -> registered.add(peer.name()));
        registered.add(mSettings.name());
        return registered;
    }

    boolean reaches(InstanceName name) {
        return mPeers.find(name).exists(Peer::reachable);
    }

    /** Tests whether a peer says that it follows another leader than this instance. */
    boolean followsAnother(InstanceName name) {
        return mPeers.find(name)
                .flatMap(Peer::follows)
                .exists(leader -> !leader.equals(mSettings.name()));
    }

    /** Takes note that a peer has passed a job on to this instance, and so follows it. */
    void followed(InstanceName name) {
        mPeers.recordFollowing(name, mSettings.name());
    }

    /** Returns where a neighbour listens, none if it is not known. */
    Option<HostAddress> address(InstanceName name) {
        return mPeers.find(name).map(Peer::address);
    }

    /** Decides how strong the claim to a backend server is. */
    ClaimMode claim(ServerEntry server) {
        Set<InstanceName> group = new TreeSet<>(mGroup);
        group.addAll(mDead);
        Set<InstanceName> instances = instancesOf(server.dataCentre());
        return Leadership.of(self()).claimMode(server.id(), leads(), group, instances);
    }

    private Set<InstanceName> instancesOf(DataCentre dataCentre) {
        Set<InstanceName> instances = mPeers.namesIn(dataCentre);
        if (dataCentre.equals(mSettings.dataCentre())) {
            instances.add(mSettings.name());
        }
        return instances;
    }

    /**
     * Takes note that another instance has taken a backend server. A peer whose address refuses
     * connections may then be alive behind a cut, and its servers are left to it.
     */
    @Override
    public void fenced(ServerEntry server) {
        Leadership.preferredOwner(server.id(), instancesOf(server.dataCentre()))
                .filter(mPeers::markPartitioned)
                .forEach(owner -> mLoop.run(this::reconsider));
    }

    /** Takes note that this machine may have been suspended: peers may follow another leader. */
    @Override
    public void suspended() {
        mPeers.onSuspension();
        mListener.healed();
        ask(true);
    }

    /** Tests whether it is not known yet whom the peers follow since this machine was suspended. */
    boolean awaitsAnswers() {
        return mPeers.hasUnconfirmedPeers();
    }

    /** Asks the neighbours that are due for their presence. */
    void tick() {
        mPeers.unresponsivePeers(mLoop.nowNanos()).forEach(name -> unreachable(name, "silent"));
        reconsider();
        ask(leads());
    }

    /** Answers the presence of a peer. */
    Presence.Builder answer(Presence presence) {
        heard(presence);
        Presence.Builder answer = presence();
        if (presence.getConfigurationVersion() < mConfigurationVersion) {
            answer.setConfiguration(ByteString.copyFrom(mConfiguration));
        }
        return answer;
    }

    private void ask(boolean all) {
        Option<InstanceName> leader = mLeader.map(Peer::name);
        for (PeerProbe question : mPeers.dueProbes(all, leader, mLoop.nowNanos())) {
            Envelope.Builder request = Envelope.newBuilder().setPresence(presence());
            mClient.call(question.address(), request, ANSWER_TIMEOUT)
                    .thenAccept(answer -> mLoop.run(() -> answered(question, answer)));
        }
    }

    private void answered(PeerProbe question, Either<Failure, Envelope> answer) {
        InstanceName peer = question.peer();
        if (answer.isRight() && answer.get().hasPresence()) {
            Presence presence = answer.get().getPresence();
            if (presence.getName().equals(peer.value())) {
                present(question, presence);
                return;
            }
            mPeers.onTimeout(question);
            unreachable(peer, "another instance answers");
        } else if (answer.isLeft() && answer.getLeft().kind() == FailureKind.PEER_REFUSED) {
            mPeers.onConnectionRefused(question);
            unreachable(peer, "refused");
            reconsider();
        } else if (mPeers.onTimeout(question)) {
            mClient.drop(question.address());
        }
    }

    private void present(PeerProbe question, Presence presence) {
        PeerTable.ContactChange contact =
                mPeers.onAnswer(question, presence.getSeniority(), mLoop.nowNanos());
        if (contact == PeerTable.ContactChange.HEALED) {
            mListener.healed();
        }
        if (contact != PeerTable.ContactChange.UNCHANGED) {
            mLog.event(EventName.PEER_REACHED).with(EventField.PEER, question.peer()).info();
        }
        heard(presence);
        if (presence.getConfigurationVersion() > mConfigurationVersion
                && !presence.getConfiguration().isEmpty()) {
            mListener.configuration(presence.getConfiguration().toByteArray());
        }
        reconsider();
    }

    private void heard(Presence presence) {
        mTokens.observe(presence.getHighestToken());
        if (PresenceMessages.news(presence).exists(mPeers::updateStatus)) {
            reconsider();
        }
    }

    private void unreachable(InstanceName name, String reason) {
        if (mPeers.markUnreachable(name)) {
            mLog.event(EventName.PEER_LOST)
                    .with(EventField.PEER, name)
                    .with(EventField.REASON, reason)
                    .warn();
        }
        address(name).forEach(mClient::drop);
    }

    private void reconsider() {
        boolean settled = settled();
        List<Peer> peers = mPeers.peers();
        Leadership leadership = Leadership.of(self());
        if (mDivided) {
            leadership = leadership.preferringLargeInstances(peers);
        }
        Peer leader = leadership.chooseLeader(peers);
        Set<InstanceName> group = leadership.groupMembers(peers);
        if (isSelf(leader)
                && !(mListed && Leadership.mayStartLeading(settled, group, registered()))) {
            return;
        }
        boolean ready = leaderIsReady();
        boolean other = !mLeader.map(Peer::name).equals(Option.some(leader.name()));
        Set<InstanceName> dead = mPeers.confirmedDead();
        boolean regrouped = isSelf(leader) && !(group.equals(mGroup) && dead.equals(mDead));
        mGroup = group;
        mDead = dead;
        mLeader = Option.some(leader);
        boolean becameReady = !ready && leaderIsReady();
        if (!other && !regrouped && !becameReady) {
            return;
        }
        if (other) {
            mLog.event(EventName.LEADER_FOLLOWED)
                    .with(EventField.PEER, leader.name())
                    .with(EventField.COUNT, group.size())
                    .info();
            ask(true);
        }
        mListener.leadershipChanged();
    }

    /**
     * Tests whether this instance may lead: each registered neighbour has answered or is proved
     * dead, or has had time to answer.
     */
    private boolean settled() {
        if (!mListed) {
            return false;
        }
        if (mLoop.nowNanos() - mListedNanos > SETTLE_NANOS) {
            return true;
        }
        if (mSeniority == UNREGISTERED) {
            return false;
        }
        return mPeers.allAnsweredOrDead();
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
                mStoreless,
                mLeader.map(Peer::name));
    }

    /** Returns what this instance tells of itself. */
    Presence.Builder presence() {
        return Presence.newBuilder()
                .setName(mSettings.name().value())
                .setDataCentre(mSettings.dataCentre().value())
                .setPeerAddress(mSettings.peerAddress().toString())
                .setSeniority(mSeniority)
                .setFollows(mLeader.map(leader -> leader.name().value()).getOrElse(""))
                .setDraining(mDraining)
                .setStoreless(mStoreless)
                .setHighestToken(mTokens.highest())
                .setConfigurationVersion(mConfigurationVersion);
    }
}
