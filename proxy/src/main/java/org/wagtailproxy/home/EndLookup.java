package org.wagtailproxy.home;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.wagtailproxy.document.JobDocuments;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.MemberTable;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.membership.SealKind;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.wire.EndRecord;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.FindEnd;

/**
 * Finds the end of a job in the replicas when the job's home instance does not answer.
 *
 * <p>A job is declared failed because its home was lost only if the home is sealed as lost and
 * every instance that may store a replica either answers that it has none or refuses the
 * connection. Each instance fences the home before it answers, so that no later record can
 * contradict the result.
 */
public final class EndLookup {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final Members mMembers;
    private final PeerClient mClient;
    private final EndRecords mRecords;
    private final JobService mJobs;

    private EndLookup(Members members, PeerClient client, EndRecords records, JobService jobs) {
        mMembers = members;
        mClient = client;
        mRecords = records;
        mJobs = jobs;
    }

    /**
     * Creates a lookup.
     *
     * @param members the members, not null
     * @param client the client that calls them, not null
     * @param records the replicas stored here, not null
     * @param jobs the jobs of this instance, not null
     * @return the lookup, never null
     */
    public static EndLookup of(
            Members members, PeerClient client, EndRecords records, JobService jobs) {
        Objects.requireNonNull(members, "members");
        return new EndLookup(members, client, records, jobs);
    }

    /**
     * Finds the end of a job, first locally and then at the other instances.
     *
     * @param name the job name, within a session, not null
     * @param home the member that had authority over it, none if it is not known
     * @param seal the seal of that member, none if it is not sealed
     * @return a future that completes with the end, with an end that declares the job failed, or
     *     with none if the result cannot be determined now
     */
    public CompletableFuture<Option<EndRecord>> find(
            JobName name, Option<Member> home, Option<Seal> seal) {
        Option<EndRecord> local = findLocally(name, seal);
        if (local.isDefined()) {
            return CompletableFuture.completedFuture(local);
        }
        List<CompletableFuture<Either<Failure, Envelope>>> calls = new ArrayList<>();
        FindEnd.Builder request = FindEnd.newBuilder().setJobName(name.toString());
        seal.forEach(each -> request.setSeal(MessageConverter.seal(each)));
        for (Member member : replicaMembers(home)) {
            Envelope.Builder envelope = Envelope.newBuilder().setFindEnd(request);
            calls.add(mClient.call(member.peerAddress(), envelope, TIMEOUT));
        }
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenApply(done -> evaluateAnswers(name, seal, calls));
    }

    /**
     * Finds the end of a job on this instance only. If the home is sealed as lost, records the seal
     * and fences the home first.
     *
     * @param name the job, not null
     * @param seal the seal of its home, none if it is not sealed; no record of a home sealed as
     *     lost is accepted afterwards
     * @return the end, none if it is not stored here
     */
    public Option<EndRecord> findLocally(JobName name, Option<Seal> seal) {
        Incarnation issuer = name.session().get().incarnation();
        seal.filter(each -> each.kind() == SealKind.LOST)
                .forEach(
                        each -> {
                            mMembers.with(table -> table.recordSeal(each, System.nanoTime()));
                            mRecords.fence(each.incarnation());
                        });
        return mRecords.find(issuer, name).orElse(() -> mJobs.visibleEnd(name));
    }

    private List<Member> replicaMembers(Option<Member> home) {
        return mMembers.with(
                table ->
                        home.isDefined()
                                ? exclude(
                                        table.possibleReplicaMembers(home.get().dataCentre()), home)
                                : exclude(liveMembers(table), home));
    }

    private static List<Member> liveMembers(MemberTable table) {
        return table.liveMembers(System.nanoTime());
    }

    private static List<Member> exclude(List<Member> members, Option<Member> home) {
        return members.stream().filter(member -> !home.contains(member)).toList();
    }

    private static Option<EndRecord> evaluateAnswers(
            JobName name,
            Option<Seal> seal,
            List<CompletableFuture<Either<Failure, Envelope>>> calls) {
        boolean unresponsive = false;
        for (CompletableFuture<Either<Failure, Envelope>> call : calls) {
            Either<Failure, Envelope> answer = call.join();
            if (answer.isRight() && answer.get().getFindEndAnswer().hasRecord()) {
                return Option.some(answer.get().getFindEndAnswer().getRecord());
            }
            unresponsive |= answer.isLeft() && answer.getLeft().kind() != FailureKind.PEER_REFUSED;
        }
        boolean lost = seal.exists(each -> each.kind() == SealKind.LOST);
        return lost && !unresponsive ? Option.some(lostJobRecord(name)) : Option.none();
    }

    private static EndRecord lostJobRecord(JobName name) {
        Failure failure =
                Failure.of(FailureKind.HOME_LOST, "the instance that ran the job is gone");
        byte[] document = JobDocuments.writeLostJob(name, failure);
        return EndRecord.newBuilder()
                .setJobName(name.toString())
                .setDocument(ByteString.copyFrom(document))
                .setTrace(ByteString.copyFrom(document))
                .build();
    }
}
