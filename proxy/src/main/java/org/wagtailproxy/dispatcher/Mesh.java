package org.wagtailproxy.dispatcher;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.Leadership;
import org.wagtailproxy.leadership.Majority;
import org.wagtailproxy.leadership.Peer;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.scheduling.Claim;
import org.wagtailproxy.scheduling.TokenSource;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;

/**
 * Knows which instances of the pool are alive and whom they follow. Confined to the event loop.
 *
 * <p>Presence is asked for on the connections that jobs are passed on over. Two answers in a row
 * that fail to come close the connection, since it may have gone silent.
 */
final class Mesh implements LeaderDesk.Listener {

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

    /** Missing answers after which a connection is taken as silent; a busy peer misses one. */
    private static final int MISSES_BEFORE_DROP = 2;

    /** Silence after which a peer is taken as unreachable; two answers may get lost. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(520);

    /** Time after a peer was reached in which it may still be loading its code. */
    private static final long YOUNG_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Silence after which such a peer is taken as unreachable. */
    private static final long YOUNG_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1100);

    /** Time in which peers are asked before this instance may lead for the first time. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    /** Seniority of an instance that the store has not registered yet. */
    private static final long UNREGISTERED = Long.MAX_VALUE;

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final PeerClient mClient;
    private final TokenSource mTokens;
    private final EventLog mLog;
    private final Listener mListener;
    private final Map<InstanceName, PeerState> mPeers = new TreeMap<>();
    private long mSeniority = UNREGISTERED;
    private long mListedNanos;
    private boolean mListed;
    private boolean mDraining;
    private boolean mStoreless;

    /** How often this machine may have been suspended. */
    private int mSuspensions;

    private Option<Peer> mLeader = Option.none();
    private Set<InstanceName> mGroup = Set.of();

    /** Instances whose address refuses connections and that do not seem to live behind a cut. */
    private Set<InstanceName> mDead = Set.of();

    private long mConfigurationVersion;
    private byte[] mConfiguration = new byte[0];

    /** What is known of a peer. */
    private static final class PeerState {
        private final InstanceName mName;
        private final DataCentre mDataCentre;
        private HostAddress mAddress;
        private long mSeniority;
        private boolean mRegistered;
        private boolean mDraining;
        private boolean mAsking;
        private boolean mMustAnswer;
        private boolean mReachable;
        private boolean mRefuses;
        private boolean mBehindCut;
        private boolean mKeepsJobs;
        private boolean mStoreless;
        private int mMisses;
        private long mAnsweredNanos;
        private long mReachedNanos;
        private long mLostSeniority = -1;
        private Option<InstanceName> mFollows = Option.none();

        private PeerState(InstanceRecord record) {
            mName = record.name();
            mDataCentre = record.dataCentre();
            mAddress = record.peerAddress();
            mSeniority = record.seniority();
        }

        private Peer peer() {
            return new Peer(
                    mName,
                    mDataCentre,
                    mAddress,
                    mSeniority,
                    mReachable,
                    mDraining,
                    mStoreless,
                    mFollows);
        }
    }

    Mesh(
            DispatcherSettings settings,
            EventLoop loop,
            PeerClient client,
            TokenSource tokens,
            EventLog log,
            Listener listener) {
        mSettings = settings;
        mLoop = loop;
        mClient = client;
        mTokens = tokens;
        mLog = log;
        mListener = listener;
    }

    /** Takes over the registered instances that may follow the same leader. */
    void list(Collection<InstanceRecord> records) {
        if (!mListed) {
            mListed = true;
            mListedNanos = mLoop.nowNanos();
        }
        mPeers.values().forEach(state -> state.mRegistered = false);
        for (InstanceRecord record : records) {
            if (record.name().equals(mSettings.name())) {
                continue;
            }
            PeerState state = mPeers.computeIfAbsent(record.name(), name -> new PeerState(record));
            state.mRegistered = true;
            state.mAddress = record.peerAddress();
        }
        mPeers.values().removeIf(state -> !state.mRegistered && !state.mReachable);
        ask();
    }

    void registered(long seniority) {
        if (mSeniority == UNREGISTERED) {
            mSeniority = seniority;
            mTokens.heardCount(seniority);
            reconsider();
        }
    }

    void drain() {
        mDraining = true;
        reconsider();
        ask();
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
        return mLeader.exists(
                leader -> {
                    PeerState state = mPeers.get(leader.name());
                    return state != null && state.mKeepsJobs;
                });
    }

    /** Tests whether this instance leads a majority, and so may keep the stored jobs. */
    boolean leadsMajority() {
        return leads() && Majority.includes(mGroup, registered());
    }

    private Set<InstanceName> registered() {
        Set<InstanceName> registered = new TreeSet<>(mPeers.keySet());
        registered.add(mSettings.name());
        return registered;
    }

    boolean reaches(InstanceName name) {
        PeerState state = mPeers.get(name);
        return state != null && state.mReachable;
    }

    /** Tests whether a peer says that it follows another leader than this instance. */
    boolean followsAnother(InstanceName name) {
        PeerState state = mPeers.get(name);
        return state != null && state.mFollows.exists(leader -> !leader.equals(mSettings.name()));
    }

    /** Takes note that a peer has passed a job on to this instance, and so follows it. */
    void followed(InstanceName name) {
        PeerState state = mPeers.get(name);
        if (state != null) {
            state.mFollows = Option.some(mSettings.name());
        }
    }

    /** Returns where a neighbour listens, none if it is not known. */
    Option<HostAddress> address(InstanceName name) {
        return Option.of(mPeers.get(name)).map(state -> state.mAddress);
    }

    /** Decides how strong the claim to a backend server is. */
    Claim claim(ServerEntry server) {
        Set<InstanceName> group = new TreeSet<>(mGroup);
        group.addAll(mDead);
        Set<InstanceName> instances = instancesOf(server.dataCentre());
        return Leadership.of(self()).claim(server.id(), leads(), group, instances);
    }

    private Set<InstanceName> instancesOf(DataCentre dataCentre) {
        Set<InstanceName> instances = new TreeSet<>();
        if (dataCentre.equals(mSettings.dataCentre())) {
            instances.add(mSettings.name());
        }
        for (PeerState state : mPeers.values()) {
            if (state.mDataCentre.equals(dataCentre)) {
                instances.add(state.mName);
            }
        }
        return instances;
    }

    /**
     * Takes note that another instance has taken a backend server. A peer whose address refuses
     * connections may then be alive behind a cut, and its servers are left to it.
     */
    @Override
    public void fenced(ServerEntry server) {
        Leadership.naturalOwner(server.id(), instancesOf(server.dataCentre()))
                .flatMap(owner -> Option.of(mPeers.get(owner)))
                .filter(owner -> owner.mRefuses)
                .forEach(
                        owner -> {
                            owner.mRefuses = false;
                            owner.mBehindCut = true;
                            mLoop.run(this::reconsider);
                        });
    }

    /** Takes note that this machine may have been suspended: peers may follow another leader. */
    @Override
    public void suspended() {
        mSuspensions++;
        mPeers.values().forEach(state -> state.mMustAnswer = state.mReachable);
        mListener.healed();
        ask();
    }

    /** Tests whether it is not known yet whom the peers follow since this machine was suspended. */
    boolean awaitsAnswers() {
        return mPeers.values().stream().anyMatch(state -> state.mMustAnswer && state.mReachable);
    }

    /** Asks every neighbour for its presence. */
    void tick() {
        long nowNanos = mLoop.nowNanos();
        for (PeerState state : mPeers.values()) {
            boolean young = nowNanos - state.mReachedNanos < YOUNG_NANOS;
            long silence = young ? YOUNG_SILENCE_NANOS : SILENCE_NANOS;
            boolean silent = nowNanos - state.mAnsweredNanos > silence;
            if (state.mReachable && silent) {
                unreachable(state, "silent");
            }
        }
        reconsider();
        ask();
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

    private void ask() {
        for (PeerState state : mPeers.values()) {
            if (!state.mAsking) {
                state.mAsking = true;
                int suspensions = mSuspensions;
                Envelope.Builder request = Envelope.newBuilder().setPresence(presence());
                mClient.call(state.mAddress, request, ANSWER_TIMEOUT)
                        .thenAccept(
                                answer -> mLoop.run(() -> answered(state, suspensions, answer)));
            }
        }
    }

    private void answered(PeerState state, int suspensions, Either<Failure, Envelope> answer) {
        state.mAsking = false;
        if (answer.isRight() && answer.get().hasPresence()) {
            Presence presence = answer.get().getPresence();
            if (!presence.getName().equals(state.mName.value())) {
                unreachable(state, "another instance answers");
                return;
            }
            state.mAnsweredNanos = mLoop.nowNanos();
            state.mRefuses = false;
            state.mBehindCut = false;
            state.mMisses = 0;
            // An answer that waited through a suspension tells nothing of the time since.
            state.mMustAnswer &= suspensions != mSuspensions;
            if (!state.mReachable) {
                state.mReachable = true;
                state.mReachedNanos = state.mAnsweredNanos;
                if (state.mLostSeniority == presence.getSeniority()) {
                    mListener.healed();
                }
                mLog.event(EventName.PEER_REACHED).with(EventField.PEER, state.mName).info();
            }
            heard(presence);
            if (presence.getConfigurationVersion() > mConfigurationVersion
                    && !presence.getConfiguration().isEmpty()) {
                mListener.configuration(presence.getConfiguration().toByteArray());
            }
            reconsider();
        } else if (answer.isLeft() && answer.getLeft().kind() == FailureKind.PEER_REFUSED) {
            state.mRefuses = !state.mBehindCut;
            unreachable(state, "refused");
            reconsider();
        } else if (++state.mMisses >= MISSES_BEFORE_DROP) {
            mClient.drop(state.mAddress);
        }
    }

    private void heard(Presence presence) {
        mTokens.heard(presence.getHighestToken());
        if (!Names.isName(presence.getName())) {
            return;
        }
        PeerState state = mPeers.get(InstanceName.of(presence.getName()));
        if (state == null) {
            return;
        }
        Option<InstanceName> follows =
                Names.isName(presence.getFollows())
                        ? Option.some(InstanceName.of(presence.getFollows()))
                        : Option.none();
        boolean changed =
                state.mDraining != presence.getDraining()
                        || state.mStoreless != presence.getStoreless()
                        || !state.mFollows.equals(follows);
        state.mSeniority = presence.getSeniority();
        state.mDraining = presence.getDraining();
        state.mFollows = follows;
        state.mKeepsJobs = presence.getKeepsJobs();
        state.mStoreless = presence.getStoreless();
        if (changed) {
            reconsider();
        }
    }

    private void unreachable(PeerState state, String reason) {
        if (state.mReachable) {
            state.mReachable = false;
            state.mLostSeniority = state.mSeniority;
            mLog.event(EventName.PEER_LOST)
                    .with(EventField.PEER, state.mName)
                    .with(EventField.REASON, reason)
                    .warn();
        }
        state.mFollows = Option.none();
        mClient.drop(state.mAddress);
    }

    private void reconsider() {
        boolean settled = settled();
        List<Peer> peers = new ArrayList<>();
        for (PeerState state : mPeers.values()) {
            peers.add(state.peer());
        }
        Leadership leadership = Leadership.of(self());
        Peer leader = leadership.leader(peers);
        Set<InstanceName> group = leadership.group(peers);
        if (isSelf(leader) && !(mListed && Leadership.mayBegin(settled, group, registered()))) {
            return;
        }
        boolean ready = leaderIsReady();
        boolean other = !mLeader.map(Peer::name).equals(Option.some(leader.name()));
        Set<InstanceName> dead = new TreeSet<>();
        mPeers.values().stream().filter(s -> s.mRefuses).forEach(s -> dead.add(s.mName));
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
            ask();
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
        for (PeerState state : mPeers.values()) {
            if (!state.mReachable && !state.mRefuses) {
                return false;
            }
        }
        return true;
    }

    private Peer self() {
        return new Peer(
                mSettings.name(),
                mSettings.dataCentre(),
                mSettings.peerAddress(),
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
