package org.wagtailproxy.serve;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.home.AuthorityHandover;
import org.wagtailproxy.home.EndLookup;
import org.wagtailproxy.home.EndRecords;
import org.wagtailproxy.home.JobReply;
import org.wagtailproxy.home.JobRouter;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.membership.SealKind;
import org.wagtailproxy.peer.Heartbeats;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerRequestHandler;
import org.wagtailproxy.peer.ViewExchange;
import org.wagtailproxy.wire.EndRecord;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.FindEnd;
import org.wagtailproxy.wire.FindEndAnswer;
import org.wagtailproxy.wire.HandOverAnswer;
import org.wagtailproxy.wire.JobAnswer;
import org.wagtailproxy.wire.StoreEnd;
import org.wagtailproxy.wire.StoreEndAnswer;

/**
 * Dispatches each request from another instance to the component that handles it, on the executor
 * for that kind of work.
 */
final class PeerRequests implements PeerRequestHandler {

    private final Members mMembers;
    private final JobRouter mRouter;
    private final EndRecords mRecords;
    private final EndLookup mLookup;
    private final AuthorityHandover mHandover;
    private final Heartbeats mHeartbeats;
    private final ViewExchange mExchange;
    private final InstanceExecutors mExecutors;

    PeerRequests(
            Members members,
            JobRouter router,
            EndRecords records,
            EndLookup lookup,
            AuthorityHandover handover,
            Heartbeats heartbeats,
            ViewExchange exchange,
            InstanceExecutors executors) {
        mMembers = members;
        mRouter = router;
        mRecords = records;
        mLookup = lookup;
        mHandover = handover;
        mHeartbeats = heartbeats;
        mExchange = exchange;
        mExecutors = executors;
    }

    @Override
    public void handle(Envelope request, Consumer<Envelope.Builder> reply) {
        Objects.requireNonNull(reply, "reply");
        switch (request.getBodyCase()) {
            case HEARTBEAT ->
                    execute(
                            mExecutors.mControl,
                            () -> reply.accept(mHeartbeats.handle(request.getHeartbeat())));
            case VIEW_PULL ->
                    execute(
                            mExecutors.mControl,
                            () -> reply.accept(mExchange.handle(request.getViewPull())));
            case VIEW ->
                    execute(
                            mExecutors.mWorkers,
                            () -> reply.accept(mExchange.handle(request.getView())));
            case JOB_CALL -> execute(mExecutors.mWorkers, () -> routeJobCall(request, reply));
            case STORE_END -> execute(mExecutors.mWorkers, () -> storeIfOpen(request, reply));
            case FIND_END ->
                    execute(mExecutors.mWorkers, () -> reply.accept(find(request.getFindEnd())));
            case HAND_OVER -> execute(mExecutors.mBlocking, () -> reply.accept(handOver(request)));
            default -> {
                // A newer peer may send a request that this version does not support; its call
                // times out.
            }
        }
    }

    private static void execute(Executor executor, Runnable action) {
        executor.execute(action);
    }

    private void routeJobCall(Envelope request, Consumer<Envelope.Builder> reply) {
        mRouter.serve(request.getJobCall())
                .thenAccept(
                        answer -> reply.accept(Envelope.newBuilder().setJobAnswer(encode(answer))));
    }

    private static JobAnswer encode(JobReply reply) {
        return JobAnswer.newBuilder()
                .setStatus(reply.status())
                .setBody(ByteString.copyFrom(reply.body()))
                .setFailure(reply.failure().getOrElse(""))
                .build();
    }

    /**
     * Confirms no record before this instance knows the seals that its neighbours know. Until then
     * it answers immediately with an empty message, because a sender that waits for an answer sends
     * no replicas to its other neighbours in the meantime. The sender takes an empty message
     * neither as a confirmation nor as the refusal of a sealed sender.
     */
    private void storeIfOpen(Envelope request, Consumer<Envelope.Builder> reply) {
        reply.accept(mRecords.isOpen() ? store(request.getStoreEnd()) : Envelope.newBuilder());
    }

    private Envelope.Builder store(StoreEnd request) {
        Option<Incarnation> sender = MessageConverter.incarnation(request.getIncarnation());
        boolean stored = sender.isDefined();
        for (EndRecord record : request.getRecordsList()) {
            stored = stored && store(sender.get(), record);
        }
        return Envelope.newBuilder()
                .setStoreEndAnswer(StoreEndAnswer.newBuilder().setStored(stored));
    }

    private boolean store(Incarnation sender, EndRecord record) {
        Either<Failure, JobName> name = JobName.parse(record.getJobName());
        if (name.isLeft() || name.get().session().isEmpty()) {
            return false;
        }
        Option<Seal> seal = mMembers.with(table -> table.sealOf(sender));
        if (seal.exists(each -> each.kind() == SealKind.LOST)) {
            mRecords.fence(sender);
        }
        Incarnation issuer = name.get().session().get().incarnation();
        return mRecords.store(sender, issuer, name.get(), record, System.nanoTime());
    }

    private Envelope.Builder find(FindEnd request) {
        FindEndAnswer.Builder answer = FindEndAnswer.newBuilder();
        Option<Seal> seal =
                request.hasSeal() ? MessageConverter.seal(request.getSeal()) : Option.none();
        JobName.parse(request.getJobName())
                .toOption()
                .filter(name -> name.session().isDefined())
                .flatMap(name -> mLookup.findLocally(name, seal))
                .forEach(answer::setRecord);
        return Envelope.newBuilder().setFindEndAnswer(answer);
    }

    private Envelope.Builder handOver(Envelope request) {
        HandOverAnswer answer = mHandover.handlePart(request.getHandOver());
        return Envelope.newBuilder().setHandOverAnswer(answer);
    }
}
