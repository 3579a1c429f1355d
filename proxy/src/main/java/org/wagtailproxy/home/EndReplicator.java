package org.wagtailproxy.home;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.observe.Metrics;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.wire.EndRecord;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.StoreEnd;

/**
 * Replicates the ends of jobs to neighbours before they become visible to callers.
 *
 * <p>A neighbour confirms a record after it has stored it, not on receipt, so that lookups find it
 * there from then on.
 */
public final class EndReplicator {

    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final Members mMembers;
    private final PeerClient mClient;
    private final Metrics mMetrics;
    private final int mReplicas;

    private EndReplicator(Members members, PeerClient client, Metrics metrics, int replicas) {
        mMembers = members;
        mClient = client;
        mMetrics = metrics;
        mReplicas = replicas;
    }

    /**
     * Creates a replicator.
     *
     * @param members the members, not null
     * @param client the client that calls them, not null
     * @param metrics the metrics, not null
     * @param replicas the number of neighbours that store each end, 1 or 2
     * @return the replicator, never null
     */
    public static EndReplicator of(
            Members members, PeerClient client, Metrics metrics, int replicas) {
        Objects.requireNonNull(members, "members");
        return new EndReplicator(members, client, metrics, replicas);
    }

    /**
     * Replicates an end.
     *
     * @param record the end, not null
     * @return a future that completes, once each chosen neighbour has answered or timed out, with
     *     the number of neighbours that stored the end, or with -1 if a neighbour refused it
     *     because this instance is sealed
     */
    public CompletableFuture<Integer> replicate(EndRecord record) {
        List<Member> neighbours = neighbours();
        AtomicInteger storedCount = new AtomicInteger();
        AtomicBoolean fenced = new AtomicBoolean();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (Member neighbour : neighbours) {
            StoreEnd request =
                    StoreEnd.newBuilder()
                            .setIncarnation(
                                    MessageConverter.incarnation(mMembers.self().incarnation()))
                            .addRecords(record)
                            .build();
            Envelope.Builder envelope = Envelope.newBuilder().setStoreEnd(request);
            calls.add(
                    mClient.call(neighbour.peerAddress(), envelope, TIMEOUT)
                            .thenAccept(
                                    answer ->
                                            answer.toOption()
                                                    .filter(Envelope::hasStoreEndAnswer)
                                                    .forEach(
                                                            each -> {
                                                                boolean stored =
                                                                        each.getStoreEndAnswer()
                                                                                .getStored();
                                                                if (stored) {
                                                                    storedCount.incrementAndGet();
                                                                } else {
                                                                    fenced.set(true);
                                                                }
                                                            })));
        }
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenApply(
                        done -> {
                            mMetrics.endReplicated(storedCount.get());
                            return fenced.get() ? -1 : storedCount.get();
                        });
    }

    /**
     * Selects the live neighbours that follow this instance in the cyclic order of incarnations.
     */
    private List<Member> neighbours() {
        Member self = mMembers.self();
        List<Member> live =
                mMembers
                        .with(table -> table.liveMembersIn(self.dataCentre(), System.nanoTime()))
                        .stream()
                        .filter(member -> !member.leaving())
                        .toList();
        List<Member> ordered = new ArrayList<>();
        live.stream().filter(each -> follows(each, self)).forEach(ordered::add);
        live.stream().filter(each -> !follows(each, self)).forEach(ordered::add);
        return ordered.subList(0, Math.min(mReplicas, ordered.size()));
    }

    private static boolean follows(Member member, Member self) {
        return member.incarnation().compareTo(self.incarnation()) > 0;
    }
}
