package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.leadership.MessageAge;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.scheduling.SpillOver;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;

/**
 * Finds the leaders of the other data centres by probes and records the free capacity and queue
 * time that they report, for {@link SpillOver}. Confined to the event loop; sends probes only while
 * this instance leads.
 */
final class RemoteLeaders {

    /** Timeout of a probe; far above a round trip between data centres. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(220);

    private final EventLoop mLoop;
    private final PeerTransport mClient;
    private final SpillOver mSpillOver;
    private final EvacuationTracker mEvacuations;
    private final Map<DataCentre, ProbeTarget> mTargets = new TreeMap<>();
    private final Map<InstanceName, ReportedClock> mClocks = new HashMap<>();

    /** The monotonic clock that an instance has reported, and when it was received. */
    private record ReportedClock(long clockNanos, long receivedNanos) {}

    /** The instances of another data centre and which of them is probed next. */
    private static final class ProbeTarget {
        private List<InstanceRecord> mInstances = List.of();
        private int mNextIndex;
        private boolean mProbeOutstanding;
        private Option<InstanceRecord> mLeader = Option.none();

        /** Whether the leader itself has answered the last probe, and leads. */
        private boolean mLeaderConfirmed;

        /** Whether the leader was doubted since the outstanding probe was sent. */
        private boolean mProbeOutdated;

        private void doubtLeader() {
            mLeaderConfirmed = false;
            mProbeOutdated = true;
        }

        private InstanceRecord instanceToProbe() {
            return mLeader.getOrElse(() -> mInstances.get(mNextIndex % mInstances.size()));
        }
    }

    RemoteLeaders(
            EventLoop loop,
            PeerTransport client,
            SpillOver spillOver,
            EvacuationTracker evacuations) {
        mLoop = loop;
        mClient = client;
        mSpillOver = spillOver;
        mEvacuations = evacuations;
    }

    /** Updates the registered instances that follow other leaders. */
    void updateInstances(Collection<InstanceRecord> records) {
        Map<DataCentre, List<InstanceRecord>> byDataCentre = new TreeMap<>();
        for (InstanceRecord record : records) {
            byDataCentre
                    .computeIfAbsent(record.dataCentre(), name -> new ArrayList<>())
                    .add(record);
        }
        mTargets.keySet().retainAll(byDataCentre.keySet());
        mClocks.keySet().retainAll(records.stream().map(InstanceRecord::name).toList());
        byDataCentre.forEach(
                (dataCentre, instances) ->
                        mTargets.computeIfAbsent(dataCentre, name -> new ProbeTarget()).mInstances =
                                instances);
    }

    /** Returns the data centres that have a leader of their own. */
    Set<DataCentre> dataCentres() {
        return mTargets.keySet();
    }

    /** Returns the address that the leader of a data centre listens on, none if it is not known. */
    Option<HostAddress> leaderAddress(DataCentre dataCentre) {
        return Option.of(mTargets.get(dataCentre))
                .flatMap(target -> target.mLeader)
                .map(InstanceRecord::peerAddress);
    }

    /**
     * Returns the address of the leader of a data centre if it has answered a probe of this
     * instance, so that it does not count this instance as lost.
     */
    Option<HostAddress> confirmedLeaderAddress(DataCentre dataCentre) {
        return Option.of(mTargets.get(dataCentre))
                .filter(target -> target.mLeaderConfirmed)
                .flatMap(target -> target.mLeader)
                .map(InstanceRecord::peerAddress);
    }

    /** Returns the clock that the leader of a data centre has reported last. */
    long leaderClockNanos(DataCentre dataCentre) {
        return Option.of(mTargets.get(dataCentre))
                .flatMap(target -> target.mLeader)
                .flatMap(leader -> Option.of(mClocks.get(leader.name())))
                .map(ReportedClock::clockNanos)
                .getOrElse(MessageAge.UNKNOWN_CLOCK_NANOS);
    }

    /** Records that the leader of a data centre has handed a job over, so it may have changed. */
    void onHandedOver(DataCentre dataCentre) {
        Option.of(mTargets.get(dataCentre)).forEach(ProbeTarget::doubtLeader);
    }

    /** Doubts all leaders, since this instance may have heard of them long ago. */
    void doubtLeaders() {
        mTargets.values().forEach(ProbeTarget::doubtLeader);
    }

    void tick(Presence.Builder presence) {
        mTargets.forEach((dataCentre, target) -> sendProbe(dataCentre, target, presence));
    }

    private void sendProbe(DataCentre dataCentre, ProbeTarget target, Presence.Builder presence) {
        if (target.mProbeOutstanding) {
            return;
        }
        target.mProbeOutstanding = true;
        target.mProbeOutdated = false;
        InstanceRecord probed = target.instanceToProbe();
        Presence.Builder probe = presence.clone();
        Option.of(mClocks.get(probed.name()))
                .forEach(
                        clock ->
                                PresenceMessages.setReceiverClock(
                                        probe,
                                        clock.clockNanos(),
                                        mLoop.nowNanos() - clock.receivedNanos()));
        mClient.call(probed.peerAddress(), Envelope.newBuilder().setPresence(probe), PROBE_TIMEOUT)
                .thenAccept(
                        answer ->
                                mLoop.execute(
                                        () -> onProbeResult(dataCentre, target, probed, answer)));
    }

    private void onProbeResult(
            DataCentre dataCentre,
            ProbeTarget target,
            InstanceRecord probed,
            Either<Failure, Envelope> answer) {
        target.mProbeOutstanding = false;
        target.mLeaderConfirmed = false;
        if (answer.isLeft() || !answer.get().hasPresence()) {
            mClient.closeConnection(probed.peerAddress());
            mSpillOver.removeReport(dataCentre);
            target.mLeader = Option.none();
            target.mNextIndex++;
            return;
        }
        Presence presence = answer.get().getPresence();
        mEvacuations.onPresence(presence);
        mClocks.put(probed.name(), new ReportedClock(presence.getClockNanos(), mLoop.nowNanos()));
        if (presence.getFollows().equals(presence.getName()) && !presence.getDraining()) {
            target.mLeader = Option.some(probed);
            target.mLeaderConfirmed = !target.mProbeOutdated;
            mSpillOver.updateReport(
                    dataCentre,
                    presence.getFreeCpuMillis(),
                    presence.getQueueMillis(),
                    mLoop.nowNanos());
            return;
        }
        mSpillOver.removeReport(dataCentre);
        target.mLeader = Option.none();
        target.mNextIndex++;
        for (InstanceRecord record : target.mInstances) {
            if (record.name().value().equals(presence.getFollows())) {
                target.mLeader = Option.some(record);
            }
        }
    }
}
