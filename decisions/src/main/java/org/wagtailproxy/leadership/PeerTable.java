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
import org.wagtailproxy.identity.HostAddress;

/**
 * What an instance knows of the others of its pool, and whom it asks when.
 *
 * <p>Answers dead, frozen and cut-off peers, which are noticed within half a second. In a large
 * fleet, which is divided, only the leader and the peers that may lead next are asked in every
 * round, so that the number of questions does not grow with the square of the pool. Confined to one
 * thread.
 */
public final class PeerTable {

    /** Silence after which a peer is taken as unreachable; two answers may get lost. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(520);

    /** Time after a peer was reached in which it may still be loading its code. */
    private static final long YOUNG_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Silence after which such a peer is taken as unreachable. */
    private static final long YOUNG_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1100);

    /** Missing answers after which a connection is taken as silent; a busy peer misses one. */
    private static final int MISSES_BEFORE_DROP = 2;

    /** Reachable peers that are asked in every round of a divided fleet, by seniority. */
    private static final int HEIRS = 2;

    /** Pause between questions to the other peers of a divided fleet; a few rounds. */
    private static final long RARELY_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    private final Map<InstanceName, State> mPeers = new TreeMap<>();
    private int mSuspensions;
    private boolean mDivided;

    /** What came of a peer's answer. */
    public enum ContactChange {
        /** The peer was reachable before, or is no longer in the table. */
        UNCHANGED,
        /** The peer was not reachable before. */
        REACHED,
        /** The peer was out of reach for a time in this life of it. */
        HEALED
    }

    /** What is known of a peer. */
    private static final class State {
        private final InstanceRecord mFirst;
        private HostAddress mAddress;
        private long mProcessorMillis;
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
        private boolean mAskedRarely;

        /** True if its last answer may be older than that of a peer that is always asked. */
        private boolean mAnsweredRarely;

        private int mMisses;
        private long mAskedNanos = Long.MIN_VALUE / 2;
        private long mAnsweredNanos;
        private long mReachedNanos;
        private long mLostSeniority = -1;
        private Option<InstanceName> mFollows = Option.none();

        private State(InstanceRecord record) {
            mFirst = record;
            mSeniority = record.seniority();
        }

        private InstanceName name() {
            return mFirst.name();
        }

        private Peer peer() {
            return new Peer(
                    mFirst.name(),
                    mFirst.dataCentre(),
                    mAddress,
                    mProcessorMillis,
                    mSeniority,
                    mReachable,
                    mDraining,
                    mStoreless,
                    mFollows);
        }

        private boolean isSilent(long nowNanos) {
            boolean young = nowNanos - mReachedNanos < YOUNG_NANOS;
            long silence = young ? YOUNG_SILENCE_NANOS : SILENCE_NANOS;
            long pause = mAnsweredRarely ? RARELY_NANOS : 0;
            return mReachable && nowNanos - mAnsweredNanos > silence + pause;
        }
    }

    /** Creates an empty table. */
    public PeerTable() {}

    /**
     * Takes over the registered instances.
     *
     * @param records the other instances of the pool, not null
     * @param pooled tests whether a data centre belongs to the pool, which may have been divided;
     *     not null
     * @param divided true if the fleet has several pools, for it is large
     */
    public void updateRegistered(
            Collection<InstanceRecord> records, Predicate<DataCentre> pooled, boolean divided) {
        mDivided = divided;
        mPeers.values().removeIf(state -> !pooled.test(state.mFirst.dataCentre()));
        mPeers.values().forEach(state -> state.mRegistered = false);
        for (InstanceRecord record : records) {
            State state = mPeers.computeIfAbsent(record.name(), name -> new State(record));
            state.mRegistered = true;
            state.mAddress = record.peerAddress();
            state.mProcessorMillis = record.processorMillis();
        }
        mPeers.values().removeIf(state -> !state.mRegistered && !state.mReachable);
    }

    /**
     * Chooses whom to ask now.
     *
     * @param all true to ask everyone whose answer is not awaited
     * @param leader the leader that is followed, none if there is none
     * @param nowNanos the monotonic time in nanoseconds
     * @return the questions to send, each of which has to be answered, missed or refused here;
     *     never null
     */
    public List<PeerProbe> dueProbes(boolean all, Option<InstanceName> leader, long nowNanos) {
        Set<InstanceName> often = all || !mDivided ? Set.of() : heirs(leader);
        List<PeerProbe> questions = new ArrayList<>();
        for (State state : mPeers.values()) {
            state.mAskedRarely =
                    state.mReachable && !often.isEmpty() && !often.contains(state.name());
            state.mAnsweredRarely |= state.mAskedRarely;
            boolean rests = state.mAskedRarely && nowNanos - state.mAskedNanos < RARELY_NANOS;
            if (!state.mAsking && !rests) {
                state.mAsking = true;
                state.mAskedNanos = nowNanos;
                questions.add(new PeerProbe(state.name(), state.mAddress, mSuspensions));
            }
        }
        return questions;
    }

    private Set<InstanceName> heirs(Option<InstanceName> leader) {
        Set<InstanceName> heirs = new TreeSet<>();
        leader.forEach(heirs::add);
        mPeers.values().stream()
                .filter(state -> state.mReachable && !state.mDraining)
                .sorted(Comparator.comparingLong(state -> state.mSeniority))
                .limit(HEIRS)
                .forEach(state -> heirs.add(state.name()));
        return heirs;
    }

    /**
     * Takes note of an answer.
     *
     * @param question what was asked, not null
     * @param seniority the seniority that the peer tells
     * @param nowNanos the monotonic time in nanoseconds
     * @return what came of it, never null
     */
    public ContactChange onAnswer(PeerProbe question, long seniority, long nowNanos) {
        State state = mPeers.get(question.peer());
        if (state == null) {
            return ContactChange.UNCHANGED;
        }
        state.mAsking = false;
        state.mAnsweredNanos = nowNanos;
        state.mRefuses = false;
        state.mBehindCut = false;
        state.mMisses = 0;
        state.mAnsweredRarely = state.mAskedRarely;
        // An answer that waited through a suspension tells nothing of the time since.
        state.mMustAnswer &= question.suspensions() != mSuspensions;
        if (state.mReachable) {
            return ContactChange.UNCHANGED;
        }
        state.mReachable = true;
        state.mReachedNanos = nowNanos;
        return state.mLostSeniority == seniority ? ContactChange.HEALED : ContactChange.REACHED;
    }

    /**
     * Takes note that no answer came in time.
     *
     * @param question what was asked, not null
     * @return true if the connection may have gone silent and is to be given up
     */
    public boolean onTimeout(PeerProbe question) {
        State state = mPeers.get(question.peer());
        if (state == null) {
            return false;
        }
        state.mAsking = false;
        return ++state.mMisses >= MISSES_BEFORE_DROP;
    }

    /**
     * Takes note that a peer's address refuses connections.
     *
     * @param question what was asked, not null
     */
    public void onConnectionRefused(PeerProbe question) {
        State state = mPeers.get(question.peer());
        if (state != null) {
            state.mAsking = false;
            state.mRefuses = !state.mBehindCut;
        }
    }

    /**
     * Takes note that a peer cannot be reached.
     *
     * @param name which, not null
     * @return true if it was reachable
     */
    public boolean markUnreachable(InstanceName name) {
        State state = mPeers.get(name);
        if (state == null) {
            return false;
        }
        boolean was = state.mReachable;
        if (was) {
            state.mReachable = false;
            state.mLostSeniority = state.mSeniority;
        }
        state.mFollows = Option.none();
        return was;
    }

    /**
     * Returns the peers that have been silent for too long.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return their names, never null
     */
    public List<InstanceName> unresponsivePeers(long nowNanos) {
        List<InstanceName> silent = new ArrayList<>();
        for (State state : mPeers.values()) {
            if (state.isSilent(nowNanos)) {
                silent.add(state.name());
            }
        }
        return silent;
    }

    /**
     * Takes over what a peer tells of itself.
     *
     * @param news what it tells, not null
     * @return true if that may change who leads
     */
    public boolean updateStatus(PeerStatus news) {
        State state = mPeers.get(news.name());
        if (state == null) {
            return false;
        }
        boolean changed =
                state.mDraining != news.draining()
                        || state.mStoreless != news.storeUnreachable()
                        || !state.mFollows.equals(news.follows());
        state.mSeniority = news.seniority();
        state.mDraining = news.draining();
        state.mFollows = news.follows();
        state.mKeepsJobs = news.coordinatesStoredJobs();
        state.mStoreless = news.storeUnreachable();
        return changed;
    }

    /**
     * Takes note that a peer follows a leader, as what it does tells.
     *
     * @param name which, not null
     * @param leader whom it follows, not null
     */
    public void recordFollowing(InstanceName name, InstanceName leader) {
        State state = mPeers.get(name);
        if (state != null) {
            state.mFollows = Option.some(leader);
        }
    }

    /**
     * Takes note that another instance gives orders to a server whose natural owner is dead as far
     * as is known here. If its address refuses connections it may be alive behind a cut.
     *
     * @param owner the natural owner, not null
     * @return true if it was taken for dead and no longer is
     */
    public boolean markPartitioned(InstanceName owner) {
        State state = mPeers.get(owner);
        if (state == null || !state.mRefuses) {
            return false;
        }
        state.mRefuses = false;
        state.mBehindCut = true;
        return true;
    }

    /** Takes note that this machine may have been suspended: peers may follow another leader. */
    public void onSuspension() {
        mSuspensions++;
        mPeers.values().forEach(state -> state.mMustAnswer = state.mReachable);
    }

    /**
     * Tests whether it is not known yet whom the peers follow since this machine was suspended.
     *
     * @return true if a reachable peer has not answered since
     */
    public boolean hasUnconfirmedPeers() {
        return mPeers.values().stream().anyMatch(state -> state.mMustAnswer && state.mReachable);
    }

    /**
     * Returns the peers.
     *
     * @return all of them in the order of their names, never null
     */
    public List<Peer> peers() {
        return mPeers.values().stream().map(State::peer).toList();
    }

    /**
     * Returns the names of the peers of a data centre.
     *
     * @param dataCentre where, not null
     * @return a set that the caller may change, never null
     */
    public Set<InstanceName> namesIn(DataCentre dataCentre) {
        Set<InstanceName> names = new TreeSet<>();
        for (State state : mPeers.values()) {
            if (state.mFirst.dataCentre().equals(dataCentre)) {
                names.add(state.name());
            }
        }
        return names;
    }

    /**
     * Returns a peer.
     *
     * @param name which, not null
     * @return the peer, none if it is not known
     */
    public Option<Peer> find(InstanceName name) {
        return Option.of(mPeers.get(name)).map(State::peer);
    }

    /**
     * Tests whether a peer says that it keeps stored jobs.
     *
     * @param name which, not null
     * @return true if it does
     */
    public boolean coordinatesStoredJobs(InstanceName name) {
        State state = mPeers.get(name);
        return state != null && state.mKeepsJobs;
    }

    /**
     * Returns the peers whose addresses refuse connections and that do not seem to live behind a
     * cut.
     *
     * @return their names, never null
     */
    public Set<InstanceName> confirmedDead() {
        Set<InstanceName> dead = new TreeSet<>();
        for (State state : mPeers.values()) {
            if (state.mRefuses) {
                dead.add(state.name());
            }
        }
        return dead;
    }

    /**
     * Tests whether every peer has answered or is proved dead.
     *
     * @return true if none is silent
     */
    public boolean allAnsweredOrDead() {
        return mPeers.values().stream().allMatch(state -> state.mReachable || state.mRefuses);
    }
}
