package org.wagtailproxy.home;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.wire.EndRecord;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.StoreEnd;

/**
 * Sends the ends stored on this instance to each neighbour that has newly appeared, so that
 * replicas survive a series of restarts. These are the visible ends of the jobs under its own
 * authority and the replicas that it stores for other instances. Methods block on the network.
 */
public final class ReplicaRepair {

    private static final Duration PART_TIMEOUT = Duration.ofSeconds(5);
    private static final int PART_BYTES = 500_000;

    private final Members mMembers;
    private final PeerClient mClient;
    private final OwnedIncarnations mOwned;
    private final JobService mJobs;
    private final EndRecords mRecords;
    private final Set<Incarnation> mRepaired = new HashSet<>();

    private ReplicaRepair(
            Members members,
            PeerClient client,
            OwnedIncarnations owned,
            JobService jobs,
            EndRecords records) {
        mMembers = members;
        mClient = client;
        mOwned = owned;
        mJobs = jobs;
        mRecords = records;
    }

    /**
     * Creates a repair.
     *
     * @param members the members, not null
     * @param client the client that calls them, not null
     * @param owned the incarnations over which this instance has authority, not null
     * @param jobs the jobs of these incarnations, not null
     * @param records the replicas stored here, not null
     * @return the repair, never null
     */
    public static ReplicaRepair of(
            Members members,
            PeerClient client,
            OwnedIncarnations owned,
            JobService jobs,
            EndRecords records) {
        Objects.requireNonNull(members, "members");
        return new ReplicaRepair(members, client, owned, jobs, records);
    }

    /** Sends all ends to each live neighbour that has not yet received them completely. */
    public void tick() {
        Member self = mMembers.self();
        List<Member> neighbours =
                mMembers.with(table -> table.liveMembersIn(self.dataCentre(), System.nanoTime()));
        mRepaired.retainAll(neighbours.stream().map(Member::incarnation).toList());
        for (Member neighbour : neighbours) {
            boolean due = !neighbour.leaving() && !mRepaired.contains(neighbour.incarnation());
            if (due && sendRecords(neighbour)) {
                mRepaired.add(neighbour.incarnation());
            }
        }
    }

    private boolean sendRecords(Member neighbour) {
        List<EndRecord> records = new ArrayList<>(mRecords.allRecords());
        mOwned.allWindows().keySet().forEach(issuer -> records.addAll(mJobs.visibleEnds(issuer)));
        StoreEnd.Builder part = newPart();
        int bytes = 0;
        for (EndRecord record : records) {
            part.addRecords(record);
            bytes += record.getSerializedSize();
            if (bytes > PART_BYTES) {
                if (!sendPart(neighbour, part)) {
                    return false;
                }
                part = newPart();
                bytes = 0;
            }
        }
        return sendPart(neighbour, part);
    }

    private StoreEnd.Builder newPart() {
        return StoreEnd.newBuilder()
                .setIncarnation(MessageConverter.incarnation(mMembers.self().incarnation()));
    }

    private boolean sendPart(Member neighbour, StoreEnd.Builder part) {
        Envelope.Builder request = Envelope.newBuilder().setStoreEnd(part);
        Either<Failure, Envelope> answer =
                mClient.call(neighbour.peerAddress(), request, PART_TIMEOUT).join();
        return answer.exists(each -> each.getStoreEndAnswer().getStored());
    }
}
