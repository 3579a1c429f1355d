package org.wagtailproxy.peer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.membership.HeartbeatThrottle;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.settings.Settings.PeerSettings;
import org.wagtailproxy.view.SharedView;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Heartbeat;

/**
 * Exchanges heartbeats with all other instances, and pulls views from those that report newer
 * configuration, a newer instance list or different seals.
 *
 * <p>Only an answer to a heartbeat of this instance proves that a peer is alive, as of the time
 * just before that heartbeat was sent. A request from a peer proves nothing, because it may have
 * waited in a buffer during a pause of this process.
 */
public final class Heartbeats {

    private static final Duration MIN_TIMEOUT = Duration.ofSeconds(1);
    private static final double INITIAL_EXCHANGE_BYTES = 200;
    private static final double EXCHANGE_BYTES_GAIN = 0.1;
    private static final int FRAME_OVERHEAD_BYTES = 8;

    /**
     * Maximum number of rounds within one heartbeat interval, reached while demand changes sharply.
     */
    private static final int MAX_ROUNDS_PER_INTERVAL = 2;

    private final PeerSettings mSettings;
    private final Members mMembers;
    private final PeerClient mClient;
    private final SharedView mView;
    private final ViewExchange mExchange;
    private final DemandSource mDemands;
    private final DemandTracker mDemandTracker;
    private final EventLog mLog;
    private final Map<HostAddress, Long> mDueNanos = new HashMap<>();
    private final Map<HostAddress, Member> mKnownMembers = new ConcurrentHashMap<>();
    private final Set<Incarnation> mPulled = ConcurrentHashMap.newKeySet();
    private final Set<HostAddress> mInFlight = ConcurrentHashMap.newKeySet();
    private final Set<HostAddress> mReached = ConcurrentHashMap.newKeySet();
    private long mPublishedNanos = System.nanoTime();
    private volatile double mExchangeBytes = INITIAL_EXCHANGE_BYTES;

    private Heartbeats(Builder builder) {
        mSettings = builder.mSettings;
        mMembers = builder.mMembers;
        mClient = builder.mClient;
        mView = builder.mView;
        mExchange = builder.mExchange;
        mDemands = builder.mDemands;
        mDemandTracker = builder.mDemandTracker;
        mLog = builder.mLog;
    }

    /** Sends the heartbeats that are due; called every few tens of milliseconds. */
    public synchronized void tick() {
        long nowNanos = System.nanoTime();
        List<HostAddress> addresses = addresses();
        int neighbours =
                mMembers.with(table -> (int) addresses.stream().filter(table::isNeighbour).count());
        double intervalFactor =
                HeartbeatThrottle.intervalFactor(
                        neighbours,
                        mSettings.heartbeatInterval(),
                        addresses.size() - neighbours,
                        mSettings.remoteHeartbeatInterval(),
                        mExchangeBytes,
                        mSettings.controlBytesPerSecond());
        mDueNanos.keySet().retainAll(addresses);
        publishDemand(nowNanos, (long) (mSettings.heartbeatInterval().toNanos() * intervalFactor));
        for (HostAddress address : addresses) {
            long dueNanos = mDueNanos.getOrDefault(address, nowNanos);
            if (nowNanos - dueNanos >= 0 && mInFlight.add(address)) {
                long interval = (long) (interval(address).toNanos() * intervalFactor);
                mDueNanos.put(address, nowNanos + interval);
                send(address);
            }
        }
    }

    /**
     * Publishes the demand of this instance in rounds that reach all neighbours together, so that
     * all of them divide by the same figures. A sharp change of demand starts the next round early.
     */
    private void publishDemand(long nowNanos, long intervalNanos) {
        long agoNanos = nowNanos - mPublishedNanos;
        boolean changedSharply =
                agoNanos >= intervalNanos / MAX_ROUNDS_PER_INTERVAL
                        && mDemandTracker.hasChangedSharply(mDemands.demand());
        if (agoNanos >= intervalNanos || changedSharply) {
            mPublishedNanos = nowNanos;
            mDemandTracker.publish(
                    mDemands.demand(), mDemands.serviceDemands(), mDemands.teamDemands());
            scheduleNeighboursNow();
        }
    }

    /** Makes the heartbeats to all neighbours due at once. */
    public synchronized void scheduleNeighboursNow() {
        long nowNanos = System.nanoTime();
        mDueNanos.replaceAll(
                (address, dueNanos) ->
                        mMembers.with(table -> table.isNeighbour(address)) ? nowNanos : dueNanos);
    }

    /**
     * Processes a heartbeat that another instance sent.
     *
     * @param heartbeat the heartbeat, not null
     * @return the heartbeat of this instance as the answer, never null
     */
    public Envelope.Builder handle(Heartbeat heartbeat) {
        Option<Member> sender = senderOf(heartbeat);
        sender.forEach(
                member -> {
                    mMembers.with(
                            table -> {
                                table.onMemberReported(member, System.nanoTime());
                                return null;
                            });
                    mDemandTracker.updateDemand(member, heartbeat);
                });
        boolean known = heartbeat.getReceiver() == mMembers.self().incarnation().low();
        Heartbeat.Builder answer = ownHeartbeat(known).setUnknownSender(sender.isEmpty());
        sender.forEach(
                member ->
                        answer.setKnowsYouSealed(
                                mMembers.with(
                                        table -> table.sealOf(member.incarnation()).isDefined())));
        return Envelope.newBuilder().setHeartbeat(answer);
    }

    /**
     * Returns the sender of a heartbeat. A heartbeat without the member is matched to a known
     * member by the low bits of the incarnation.
     */
    private Option<Member> senderOf(Heartbeat heartbeat) {
        if (heartbeat.hasMember()) {
            return MessageConverter.member(heartbeat.getMember());
        }
        return mMembers.with(table -> table.findByLowBits(heartbeat.getSender()))
                .map(member -> heartbeat.getLeaving() ? member.asLeaving() : member);
    }

    private List<HostAddress> addresses() {
        List<HostAddress> addresses =
                new ArrayList<>(mMembers.with(table -> table.heartbeatAddresses()));
        boolean alone = addresses.isEmpty() || mView.instanceList().version() == 0;
        for (HostAddress seed : mSettings.seeds()) {
            boolean self = seed.equals(mMembers.self().peerAddress());
            if (alone && !self && !addresses.contains(seed)) {
                addresses.add(seed);
            }
        }
        return addresses;
    }

    private Duration interval(HostAddress address) {
        return mMembers.with(table -> table.isNeighbour(address))
                ? mSettings.heartbeatInterval()
                : mSettings.remoteHeartbeatInterval();
    }

    private void send(HostAddress address) {
        long sentNanos = System.nanoTime();
        Duration doubled = interval(address).multipliedBy(2);
        Duration timeout = doubled.compareTo(MIN_TIMEOUT) < 0 ? MIN_TIMEOUT : doubled;
        Member receiver = mKnownMembers.get(address);
        Heartbeat.Builder heartbeat = ownHeartbeat(receiver != null);
        if (receiver != null) {
            heartbeat.setReceiver(receiver.incarnation().low());
        }
        Envelope.Builder request = Envelope.newBuilder().setHeartbeat(heartbeat);
        int requestBytes = request.getHeartbeat().getSerializedSize() + FRAME_OVERHEAD_BYTES;
        mClient.call(address, request, timeout)
                .thenAccept(answer -> onCallCompleted(address, sentNanos, requestBytes, answer));
    }

    private void onCallCompleted(
            HostAddress address,
            long sentNanos,
            int requestBytes,
            Either<Failure, Envelope> answer) {
        mInFlight.remove(address);
        if (answer.isLeft()) {
            onCallFailed(address, sentNanos, answer.getLeft());
            return;
        }
        Heartbeat heartbeat = answer.get().getHeartbeat();
        int bytes = requestBytes + heartbeat.getSerializedSize() + FRAME_OVERHEAD_BYTES;
        mExchangeBytes += EXCHANGE_BYTES_GAIN * (bytes - mExchangeBytes);
        Option<Member> member = responderOf(address, heartbeat);
        if (member.isEmpty() || heartbeat.getUnknownSender()) {
            mKnownMembers.remove(address);
        }
        member.filter(each -> each.peerAddress().equals(address))
                .forEach(each -> onPeerAnswered(each, heartbeat, sentNanos));
    }

    /**
     * Returns the member that answered. An answer without the member must carry the low bits of the
     * incarnation that last answered at the address.
     */
    private Option<Member> responderOf(HostAddress address, Heartbeat heartbeat) {
        if (heartbeat.hasMember()) {
            Option<Member> member = MessageConverter.member(heartbeat.getMember());
            member.forEach(each -> mKnownMembers.put(address, each));
            return member;
        }
        return Option.of(mKnownMembers.get(address))
                .filter(known -> known.incarnation().low() == heartbeat.getSender())
                .map(known -> heartbeat.getLeaving() ? known.asLeaving() : known);
    }

    private void onPeerAnswered(Member member, Heartbeat heartbeat, long sentNanos) {
        HostAddress address = member.peerAddress();
        if (heartbeat.getKnowsYouSealed()) {
            mExchange.pull(address);
            return;
        }
        if (mPulled.add(member.incarnation())) {
            mExchange.pull(address);
        }
        mMembers.with(
                table -> {
                    table.onContact(member, sentNanos);
                    return null;
                });
        if (mReached.add(address)) {
            mLog.event(EventName.PEER_REACHED).with(EventField.ADDRESS, address).info();
        }
        mDemandTracker.updateDemand(member, heartbeat);
        boolean pullNeeded =
                heartbeat.getConfigurationVersion() > mView.highestVersion()
                        || heartbeat.getInstanceListVersion() > mView.instanceList().version()
                        || heartbeat.getSealDigest() != sealDigest();
        if (pullNeeded) {
            mExchange.pull(address);
        }
    }

    private void onCallFailed(HostAddress address, long sentNanos, Failure failure) {
        if (failure.kind() == FailureKind.PEER_REFUSED) {
            mMembers.with(
                    table -> {
                        table.onConnectionRefused(address, sentNanos);
                        return null;
                    });
        }
        mClient.closeConnection(address);
        if (mReached.remove(address)) {
            mLog.event(EventName.PEER_LOST)
                    .with(EventField.ADDRESS, address)
                    .with(EventField.FAILURE, failure.kind().slug())
                    .warn();
        }
    }

    /**
     * Creates the heartbeat of this instance; includes the member unless the receiver already knows
     * it.
     */
    private Heartbeat.Builder ownHeartbeat(boolean known) {
        Member self = mMembers.self();
        Heartbeat.Builder heartbeat =
                Heartbeat.newBuilder()
                        .setSender(self.incarnation().low())
                        .setLeaving(self.leaving())
                        .setConfigurationVersion(mView.highestVersion())
                        .setInstanceListVersion(mView.instanceList().version())
                        .setSealDigest(sealDigest())
                        .addAllServiceDemands(mDemandTracker.publishedServices())
                        .addAllTeamDemands(mDemandTracker.publishedTeams());
        return known ? heartbeat : heartbeat.setMember(MessageConverter.member(self));
    }

    private int sealDigest() {
        int digest = 0;
        for (Seal seal : mMembers.with(table -> table.seals())) {
            digest ^= seal.incarnation().hashCode() * 31 + seal.kind().ordinal();
        }
        return digest;
    }

    /** Builds {@link Heartbeats}. */
    public static final class Builder {
        private PeerSettings mSettings;
        private Members mMembers;
        private PeerClient mClient;
        private SharedView mView;
        private ViewExchange mExchange;
        private DemandSource mDemands;
        private DemandTracker mDemandTracker;
        private EventLog mLog;

        /**
         * Sets the members and the means of communication with them.
         *
         * @param settings the intervals, seeds and traffic limit of heartbeats, not null
         * @param members the members, not null
         * @param client the client that calls them, not null
         * @return this builder
         */
        public Builder peers(PeerSettings settings, Members members, PeerClient client) {
            mSettings = Objects.requireNonNull(settings, "settings");
            mMembers = Objects.requireNonNull(members, "members");
            mClient = Objects.requireNonNull(client, "client");
            return this;
        }

        /**
         * Sets the view that is compared with the peers, and the means to pull newer ones.
         *
         * @param view the shared view, not null
         * @param exchange pulls views from peers, not null
         * @return this builder
         */
        public Builder views(SharedView view, ViewExchange exchange) {
            mView = Objects.requireNonNull(view, "view");
            mExchange = Objects.requireNonNull(exchange, "exchange");
            return this;
        }

        /**
         * Sets the source and the tracker of demand.
         *
         * @param demands the source of the demand of this instance, not null
         * @param demandTracker the tracker of published and reported demand, not null
         * @return this builder
         */
        public Builder demands(DemandSource demands, DemandTracker demandTracker) {
            mDemands = Objects.requireNonNull(demands, "demands");
            mDemandTracker = Objects.requireNonNull(demandTracker, "demandTracker");
            return this;
        }

        /**
         * Builds the heartbeats; nothing is sent before the first call of {@link Heartbeats#tick}.
         *
         * @param log the event log, not null
         * @return the heartbeats, never null
         */
        public Heartbeats build(EventLog log) {
            mLog = Objects.requireNonNull(log, "log");
            return new Heartbeats(this);
        }
    }
}
