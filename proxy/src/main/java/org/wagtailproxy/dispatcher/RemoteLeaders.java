package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.scheduling.SpillOver;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;

/**
 * Knows the leaders of the other data centres and the room that they have. Confined to the event
 * loop; asks only while this instance leads.
 */
final class RemoteLeaders {

    /** How long an answer may take; far above a round trip between data centres. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(220);

    /** Silence after which a leader's jobs are given up here; three of its rounds. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(520);

    private final EventLoop mLoop;
    private final PeerClient mClient;
    private final SpillOver mSpillOver;
    private final Map<DataCentre, Target> mTargets = new TreeMap<>();
    private final Map<InstanceName, Long> mHeardNanos = new HashMap<>();

    /** Whom to ask in another data centre. */
    private static final class Target {
        private List<InstanceRecord> mInstances = List.of();
        private int mNext;
        private boolean mAsking;
        private Option<InstanceRecord> mLeader = Option.none();

        private InstanceRecord toAsk() {
            return mLeader.getOrElse(() -> mInstances.get(mNext % mInstances.size()));
        }
    }

    RemoteLeaders(EventLoop loop, PeerClient client, SpillOver spillOver) {
        mLoop = loop;
        mClient = client;
        mSpillOver = spillOver;
    }

    /** Takes over the registered instances that follow other leaders. */
    void list(Collection<InstanceRecord> records) {
        Map<DataCentre, List<InstanceRecord>> byDataCentre = new TreeMap<>();
        for (InstanceRecord record : records) {
            byDataCentre
                    .computeIfAbsent(record.dataCentre(), name -> new ArrayList<>())
                    .add(record);
        }
        mTargets.keySet().retainAll(byDataCentre.keySet());
        byDataCentre.forEach(
                (dataCentre, instances) ->
                        mTargets.computeIfAbsent(dataCentre, name -> new Target()).mInstances =
                                instances);
    }

    /** Notes that an instance asked for this one's presence. */
    void heard(InstanceName name) {
        mHeardNanos.put(name, mLoop.nowNanos());
    }

    /** Tests whether an instance of another data centre has asked lately. */
    boolean hears(InstanceName name) {
        Long heardNanos = mHeardNanos.get(name);
        return heardNanos != null && mLoop.nowNanos() - heardNanos < SILENCE_NANOS;
    }

    /** Returns where the leader of a data centre listens, none if it is not known. */
    Option<HostAddress> address(DataCentre dataCentre) {
        return Option.of(mTargets.get(dataCentre))
                .flatMap(target -> target.mLeader)
                .map(InstanceRecord::peerAddress);
    }

    void tick(Presence.Builder presence) {
        mHeardNanos
                .values()
                .removeIf(heardNanos -> mLoop.nowNanos() - heardNanos > 10 * SILENCE_NANOS);
        mTargets.forEach((dataCentre, target) -> ask(dataCentre, target, presence));
    }

    private void ask(DataCentre dataCentre, Target target, Presence.Builder presence) {
        if (target.mAsking) {
            return;
        }
        target.mAsking = true;
        InstanceRecord asked = target.toAsk();
        mClient.call(
                        asked.peerAddress(),
                        Envelope.newBuilder().setPresence(presence),
                        ANSWER_TIMEOUT)
                .thenAccept(answer -> mLoop.run(() -> answered(dataCentre, target, asked, answer)));
    }

    private void answered(
            DataCentre dataCentre,
            Target target,
            InstanceRecord asked,
            Either<Failure, Envelope> answer) {
        target.mAsking = false;
        if (answer.isLeft() || !answer.get().hasPresence()) {
            mClient.drop(asked.peerAddress());
            mSpillOver.removeReport(dataCentre);
            target.mLeader = Option.none();
            target.mNext++;
            return;
        }
        Presence presence = answer.get().getPresence();
        if (presence.getFollows().equals(presence.getName()) && !presence.getDraining()) {
            target.mLeader = Option.some(asked);
            mSpillOver.updateReport(
                    dataCentre,
                    presence.getFreeCpuMillis(),
                    presence.getQueueMillis(),
                    mLoop.nowNanos());
            return;
        }
        mSpillOver.removeReport(dataCentre);
        target.mLeader = Option.none();
        target.mNext++;
        for (InstanceRecord record : target.mInstances) {
            if (record.name().value().equals(presence.getFollows())) {
                target.mLeader = Option.some(record);
            }
        }
    }
}
