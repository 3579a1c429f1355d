package org.wagtailproxy.home;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.document.JobDocuments;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.job.JobSpec;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.membership.SealKind;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.wire.EndRecord;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.JobAnswer;
import org.wagtailproxy.wire.JobCall;

/**
 * Routes requests about jobs to the instance with authority over the job: the instance that issued
 * the session of the job's name, or its successor after hand-overs. If that instance is lost or
 * does not answer, looks for the end of the job in the replicas.
 *
 * <p>A request that is refused because the instance is draining is repeated for some seconds, since
 * that instance is about to hand its authority over to a successor.
 */
public final class JobRouter {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration DRAIN_RETRY_PERIOD = Duration.ofSeconds(5);
    private static final long DRAIN_RETRY_DELAY_MILLISECONDS = 100;
    private static final int MAX_SUCCESSIONS = 64;
    private static final int CALL_ATTEMPTS = 2;

    private final OwnedIncarnations mOwned;
    private final JobService mJobs;
    private final Members mMembers;
    private final PeerClient mClient;
    private final EndLookup mLookup;
    private final SealStore mSealStore;
    private final NameClaims mClaims;
    private final Executor mBlockingExecutor;

    private JobRouter(Builder builder) {
        mOwned = builder.mOwned;
        mJobs = builder.mJobs;
        mMembers = builder.mMembers;
        mClient = builder.mClient;
        mLookup = builder.mLookup;
        mSealStore = builder.mSealStore;
        mClaims = builder.mClaims;
        mBlockingExecutor = builder.mBlockingExecutor;
    }

    /**
     * Serves a caller's request.
     *
     * @param request the request, not null
     * @return a future that completes with the reply
     */
    public CompletableFuture<JobReply> serve(JobRequest request) {
        if (request.name().session().isDefined()) {
            return route(request, System.nanoTime());
        }
        return CompletableFuture.supplyAsync(() -> resolveName(request), mBlockingExecutor)
                .thenCompose(
                        claimed ->
                                claimed.isLeft()
                                        ? completed(JobReply.refused(claimed.getLeft()))
                                        : route(
                                                request.withName(claimed.get()),
                                                System.nanoTime()));
    }

    /**
     * Serves a request that another instance routed here. Without authority over the job, routes it
     * on only if the authority was handed over. Otherwise refuses it as unreachable, upon which the
     * sender reads the seal from the store.
     *
     * @param call the request, not null
     * @return a future that completes with the reply
     */
    public CompletableFuture<JobReply> serve(JobCall call) {
        Either<Failure, JobName> name = JobName.parse(call.getJobName());
        if (name.isLeft() || name.get().session().isEmpty()) {
            return completed(unreachable());
        }
        JobRequest request =
                new JobRequest(
                        JobOperation.fromWire(call.getOperation()),
                        name.get(),
                        call.getBody().toByteArray(),
                        call.getWaitMilliseconds());
        if (hasAuthority(issuingIncarnation(request))) {
            return local(request);
        }
        return isHandedOver(issuingIncarnation(request))
                ? route(request, System.nanoTime())
                : completed(unreachable());
    }

    /**
     * Checks whether authority over an incarnation was handed over to another instance that is not
     * lost.
     */
    private boolean isHandedOver(Incarnation issuer) {
        Authority authority = authority(issuer);
        Incarnation self = mMembers.self().incarnation();
        boolean moved = !authority.mIncarnation.equals(issuer);
        return moved && authority.mSeal.isEmpty() && !authority.mIncarnation.equals(self);
    }

    private Either<Failure, JobName> resolveName(JobRequest request) {
        return request.operation() == JobOperation.SUBMIT
                ? mClaims.claim(request.name())
                : mClaims.find(request.name());
    }

    private CompletableFuture<JobReply> route(JobRequest request, long startNanos) {
        return attempt(request, CALL_ATTEMPTS)
                .thenCompose(
                        reply -> {
                            boolean draining =
                                    reply.failure().contains(FailureKind.DRAINING.slug());
                            long waited = System.nanoTime() - startNanos;
                            if (!draining || waited > DRAIN_RETRY_PERIOD.toNanos()) {
                                return completed(reply);
                            }
                            Executor later =
                                    CompletableFuture.delayedExecutor(
                                            DRAIN_RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
                            return CompletableFuture.supplyAsync(() -> request, later)
                                    .thenCompose(retried -> route(retried, startNanos));
                        });
    }

    private CompletableFuture<JobReply> attempt(JobRequest request, int attempts) {
        Incarnation issuer = issuingIncarnation(request);
        if (hasAuthority(issuer)) {
            return local(request);
        }
        Authority authority = authority(issuer);
        if (authority.mSeal.isDefined()) {
            return replyFromReplicas(request, authority.mMember, authority.mSeal);
        }
        if (authority.mMember.isEmpty()) {
            return resolveUnknownHome(request, authority.mIncarnation);
        }
        HostAddress address = authority.mMember.get().peerAddress();
        if (authority.mIncarnation.equals(mMembers.self().incarnation())) {
            return completed(unreachable());
        }
        return mClient.call(address, callEnvelope(request), callTimeout(request))
                .thenCompose(answer -> onAnswer(request, authority, attempts, answer));
    }

    private CompletionStage<JobReply> onAnswer(
            JobRequest request,
            Authority authority,
            int attempts,
            Either<Failure, Envelope> answer) {
        if (answer.isRight() && answer.get().hasJobAnswer()) {
            JobAnswer reply = answer.get().getJobAnswer();
            boolean misdirected = reply.getFailure().equals(FailureKind.HOME_UNREACHABLE.slug());
            if (!misdirected) {
                return completed(decodeReply(reply));
            }
        } else if (attempts > 1) {
            mClient.closeConnection(authority.mMember.get().peerAddress());
            return attempt(request, attempts - 1);
        }
        return checkSeal(request, authority.mIncarnation, authority.mMember);
    }

    private CompletableFuture<JobReply> resolveUnknownHome(
            JobRequest request, Incarnation incarnation) {
        return CompletableFuture.supplyAsync(
                        () -> mSealStore.readIncarnationRecord(incarnation), mBlockingExecutor)
                .thenCompose(
                        member -> {
                            member.forEach(
                                    each ->
                                            mMembers.with(
                                                    table -> {
                                                        table.onMemberReported(
                                                                each, System.nanoTime());
                                                        return null;
                                                    }));
                            return checkSeal(request, incarnation, member);
                        });
    }

    /**
     * Reads the seal of the home from the store; follows a hand-over, and otherwise looks for the
     * end of the job in the replicas.
     */
    private CompletableFuture<JobReply> checkSeal(
            JobRequest request, Incarnation incarnation, Option<Member> member) {
        return CompletableFuture.supplyAsync(() -> mSealStore.read(incarnation), mBlockingExecutor)
                .thenCompose(
                        read -> {
                            Option<Seal> seal = read.getOrElse(Option.none());
                            seal.forEach(
                                    each ->
                                            mMembers.with(
                                                    table ->
                                                            table.recordSeal(
                                                                    each, System.nanoTime())));
                            boolean moved =
                                    seal.exists(each -> each.kind() == SealKind.HANDED_OVER);
                            return moved
                                    ? attempt(request, 1)
                                    : replyFromReplicas(request, member, seal);
                        });
    }

    private CompletableFuture<JobReply> replyFromReplicas(
            JobRequest request, Option<Member> home, Option<Seal> seal) {
        return mLookup.find(request.name(), home, seal)
                .thenApply(
                        record ->
                                record.map(each -> replyFromRecord(request, each))
                                        .getOrElse(JobRouter::unreachable));
    }

    private static JobReply replyFromRecord(JobRequest request, EndRecord record) {
        String storedDigest = record.getContentDigest().toStringUtf8();
        if (request.operation() == JobOperation.SUBMIT && !storedDigest.isEmpty()) {
            Either<Failure, JobSpec> spec = JobDocuments.readJob(request.body());
            if (spec.isLeft()) {
                return JobReply.refused(spec.getLeft());
            }
            if (!spec.get().digest().hex().equals(storedDigest)) {
                return JobReply.refused(
                        Failure.of(
                                FailureKind.NAME_CONFLICT, "the name is taken by other content"));
            }
        }
        boolean trace = request.operation() == JobOperation.TRACE;
        return JobReply.ended((trace ? record.getTrace() : record.getDocument()).toByteArray());
    }

    private CompletableFuture<JobReply> local(JobRequest request) {
        return switch (request.operation()) {
            case SUBMIT -> completed(submit(request));
            case GET -> mJobs.get(request.name(), request.waitMilliseconds());
            case CANCEL -> completed(mJobs.cancel(request.name()));
            case TRACE -> completed(mJobs.trace(request.name()));
        };
    }

    private JobReply submit(JobRequest request) {
        Either<Failure, JobSpec> spec = JobDocuments.readJob(request.body());
        return spec.isLeft()
                ? JobReply.refused(spec.getLeft())
                : mJobs.submit(request.name(), spec.get());
    }

    private boolean hasAuthority(Incarnation incarnation) {
        Incarnation self = mMembers.self().incarnation();
        return mOwned.hasAuthority(incarnation)
                && mMembers.with(table -> table.sealOf(self).isEmpty());
    }

    /**
     * Follows hand-overs to the incarnation that has authority now, or to the first one that is
     * sealed as lost.
     */
    private Authority authority(Incarnation issuer) {
        Authority authority = new Authority(issuer, knownMember(issuer), Option.none());
        for (int step = 0; step < MAX_SUCCESSIONS; step++) {
            Incarnation current = authority.mIncarnation;
            Option<Seal> seal = mMembers.with(table -> table.sealOf(current));
            if (seal.isEmpty()) {
                return authority;
            }
            if (seal.get().kind() == SealKind.LOST) {
                return new Authority(current, authority.mMember, seal);
            }
            Member successor = seal.get().successor().get();
            authority =
                    new Authority(successor.incarnation(), Option.some(successor), Option.none());
        }
        return authority;
    }

    private Option<Member> knownMember(Incarnation incarnation) {
        return mMembers.with(table -> table.find(incarnation));
    }

    private static Incarnation issuingIncarnation(JobRequest request) {
        return request.name().session().get().incarnation();
    }

    private static Envelope.Builder callEnvelope(JobRequest request) {
        return Envelope.newBuilder()
                .setJobCall(
                        JobCall.newBuilder()
                                .setOperation(request.operation().toWire())
                                .setJobName(request.name().toString())
                                .setBody(ByteString.copyFrom(request.body()))
                                .setWaitMilliseconds((int) request.waitMilliseconds()));
    }

    private static Duration callTimeout(JobRequest request) {
        return CALL_TIMEOUT.plusMillis(request.waitMilliseconds());
    }

    private static JobReply decodeReply(JobAnswer answer) {
        Option<String> failure =
                answer.getFailure().isEmpty() ? Option.none() : Option.some(answer.getFailure());
        return new JobReply(answer.getStatus(), answer.getBody().toByteArray(), failure);
    }

    private static JobReply unreachable() {
        return JobReply.refused(
                Failure.of(
                        FailureKind.HOME_UNREACHABLE,
                        "the instance that runs the job cannot be reached now; ask again"));
    }

    private static CompletableFuture<JobReply> completed(JobReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    /**
     * Represents the member with authority over an incarnation's jobs, or the one that had it until
     * it was lost.
     */
    private static final class Authority {
        private final Incarnation mIncarnation;
        private final Option<Member> mMember;
        private final Option<Seal> mSeal;

        private Authority(Incarnation incarnation, Option<Member> member, Option<Seal> seal) {
            mIncarnation = incarnation;
            mMember = member;
            mSeal = seal;
        }
    }

    /** Builds a {@link JobRouter}. */
    public static final class Builder {
        private OwnedIncarnations mOwned;
        private JobService mJobs;
        private Members mMembers;
        private PeerClient mClient;
        private EndLookup mLookup;
        private SealStore mSealStore;
        private NameClaims mClaims;
        private Executor mBlockingExecutor;

        /**
         * Sets the local jobs.
         *
         * @param owned the incarnations over which this instance has authority, not null
         * @param jobs the jobs of these incarnations, not null
         * @return this builder
         */
        public Builder local(OwnedIncarnations owned, JobService jobs) {
            mOwned = Objects.requireNonNull(owned, "owned");
            mJobs = Objects.requireNonNull(jobs, "jobs");
            return this;
        }

        /**
         * Sets the access to other instances.
         *
         * @param members the members, not null
         * @param client the client that calls them, not null
         * @param lookup finds ends among replicas, not null
         * @return this builder
         */
        public Builder remote(Members members, PeerClient client, EndLookup lookup) {
            mMembers = Objects.requireNonNull(members, "members");
            mClient = Objects.requireNonNull(client, "client");
            mLookup = Objects.requireNonNull(lookup, "lookup");
            return this;
        }

        /**
         * Sets the access to the store.
         *
         * @param sealStore reads the seals and the records of incarnations, not null
         * @param claims the claims of names without a session, not null
         * @param blocking the executor for calls that block on the store, not null
         * @return this builder
         */
        public Builder store(SealStore sealStore, NameClaims claims, Executor blocking) {
            mSealStore = Objects.requireNonNull(sealStore, "sealStore");
            mClaims = Objects.requireNonNull(claims, "claims");
            mBlockingExecutor = Objects.requireNonNull(blocking, "blocking");
            return this;
        }

        /**
         * Builds the router.
         *
         * @return the router, never null
         */
        public JobRouter build() {
            return new JobRouter(this);
        }
    }
}
