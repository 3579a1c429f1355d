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
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.peer.Wire;
import org.wagtailproxy.wire.EndRecord;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.StoreEnd;

/**
 * Gives a neighbour that has just appeared the ends that are remembered here, so that replicas
 * outlive a series of restarts. Blocks.
 */
public final class ReplicaRepair {

    private static final Duration PART_TIMEOUT = Duration.ofSeconds(5);
    private static final int PART_BYTES = 500_000;

    private final Members mMembers;
    private final PeerClient mClient;
    private final OwnedIncarnations mHeld;
    private final JobService mJobs;
    private final EndRecords mRecords;
    private final Set<Incarnation> mSupplied = new HashSet<>();

    private ReplicaRepair(
            Members members,
            PeerClient client,
            OwnedIncarnations held,
            JobService jobs,
            EndRecords records) {
        mMembers = members;
        mClient = client;
        mHeld = held;
        mJobs = jobs;
        mRecords = records;
    }

    /**
     * Creates a repair.
     *
     * @param members the members, not null
     * @param client how they are called, not null
     * @param held the incarnations held here, not null
     * @param jobs their jobs, not null
     * @param records the replicas kept here, not null
     * @return the repair, never null
     */
    public static ReplicaRepair of(
            Members members,
            PeerClient client,
            OwnedIncarnations held,
            JobService jobs,
            EndRecords records) {
        Objects.requireNonNull(members, "members");
        return new ReplicaRepair(members, client, held, jobs, records);
    }

    /** Supplies the neighbours that have not been supplied. */
    public void tick() {
        Member self = mMembers.self();
        List<Member> neighbours =
                mMembers.with(table -> table.liveMembersIn(self.dataCentre(), System.nanoTime()));
        mSupplied.retainAll(neighbours.stream().map(Member::incarnation).toList());
        for (Member neighbour : neighbours) {
            boolean due = !neighbour.leaving() && !mSupplied.contains(neighbour.incarnation());
            if (due && supply(neighbour)) {
                mSupplied.add(neighbour.incarnation());
            }
        }
    }

    private boolean supply(Member neighbour) {
        List<EndRecord> records = new ArrayList<>(mRecords.everything());
        mHeld.all().keySet().forEach(home -> records.addAll(mJobs.visibleEnds(home)));
        StoreEnd.Builder part = part();
        int bytes = 0;
        for (EndRecord record : records) {
            part.addRecords(record);
            bytes += record.getSerializedSize();
            if (bytes > PART_BYTES) {
                if (!send(neighbour, part)) {
                    return false;
                }
                part = part();
                bytes = 0;
            }
        }
        return send(neighbour, part);
    }

    private StoreEnd.Builder part() {
        return StoreEnd.newBuilder()
                .setIncarnation(Wire.incarnation(mMembers.self().incarnation()));
    }

    private boolean send(Member neighbour, StoreEnd.Builder part) {
        Envelope.Builder request = Envelope.newBuilder().setStoreEnd(part);
        Either<Failure, Envelope> answer =
                mClient.call(neighbour.peerAddress(), request, PART_TIMEOUT).join();
        return answer.exists(each -> each.getStoreEndAnswer().getStored());
    }
}
