package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;
import org.wagtailproxy.wire.SubmitWork;
import org.wagtailproxy.wire.WithdrawWork;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Answers what other instances ask this one. */
final class PeerCalls {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventLoop mLoop;
    private final LeaderElection mElection;
    private final RemoteLeaders mRemote;
    private final LeaderScheduler mLeaderScheduler;
    private final StoredJobClient mStoredJobClient;
    private final Predicate<DataCentre> mPooled;

    PeerCalls(
            EventLoop loop,
            LeaderElection election,
            RemoteLeaders remote,
            LeaderScheduler leaderScheduler,
            StoredJobClient storedJobClient,
            Predicate<DataCentre> pooled) {
        mLoop = loop;
        mElection = election;
        mRemote = remote;
        mLeaderScheduler = leaderScheduler;
        mStoredJobClient = storedJobClient;
        mPooled = pooled;
    }

    /** Answers a request of another instance. */
    void handle(Envelope request, Consumer<Envelope.Builder> reply) {
        mLoop.run(() -> serve(request, reply));
    }

    private void serve(Envelope request, Consumer<Envelope.Builder> reply) {
        switch (request.getBodyCase()) {
            case PRESENCE -> reply.accept(presence(request.getPresence()));
            case SUBMIT_WORK -> submitted(request.getSubmitWork(), reply);
            case ASK_JOB ->
                    mStoredJobClient.answer(
                            request.getAskJob(),
                            told -> reply.accept(Envelope.newBuilder().setJobTold(told)));
            case WITHDRAW_WORK -> withdrawn(request.getWithdrawWork(), reply);
            default -> reply.accept(Envelope.newBuilder());
        }
    }

    /** Answers with the room that is free here if another data centre's leader may ask. */
    private Envelope.Builder presence(Presence asker) {
        boolean named = Names.isName(asker.getName()) && Names.isName(asker.getDataCentre());
        // An instance of the pool may have lost its registration behind a cut; it is no remote one.
        boolean remote = named && !mPooled.test(DataCentre.of(asker.getDataCentre()));
        if (remote) {
            mRemote.heard(InstanceName.of(asker.getName()));
        }
        Presence.Builder presence =
                mElection.answer(asker).setKeepsJobs(mLeaderScheduler.keeper().keepsAny());
        if (remote && mElection.leads()) {
            presence.setFreeCpuMillis(mLeaderScheduler.freeCpuMillis())
                    .setQueueMillis(mLeaderScheduler.queueMillis());
        }
        return Envelope.newBuilder().setPresence(presence);
    }

    private void submitted(SubmitWork message, Consumer<Envelope.Builder> reply) {
        Consumer<Either<WorkProgress, WorkOutcome>> answer =
                result ->
                        reply.accept(
                                Envelope.newBuilder()
                                        .setWorkAnswer(
                                                result.fold(
                                                        WorkMessages::moved,
                                                        WorkMessages::answer)));
        Either<Failure, WorkSpec> spec = WorkMessages.spec(message);
        if (spec.isLeft() || !Names.isName(message.getHome())) {
            answer.accept(Either.right(WorkOutcome.refused("unreadable", 0)));
            return;
        }
        WorkProgress progress = WorkMessages.progress(spec.get().id(), message.getProgress());
        InstanceName home = InstanceName.of(message.getHome());
        if (!mElection.leads()) {
            answer.accept(Either.left(progress));
            return;
        }
        if (!mElection.reaches(home) && !mRemote.hears(home)) {
            // It reaches this instance again before it is seen to be back.
            mLeaderScheduler.healed();
        }
        mElection.followed(home);
        long nowNanos = mLoop.nowNanos();
        mLeaderScheduler.submit(
                spec.get(),
                progress,
                nowNanos - message.getAgeMillis() * MILLI,
                nowNanos + message.getPatienceMillis() * MILLI,
                home,
                !message.getForwarded(),
                answer);
    }

    private void withdrawn(WithdrawWork message, Consumer<Envelope.Builder> reply) {
        Option<JobId> job = JobId.parse(message.getJob());
        if (job.isDefined() && Names.isName(message.getHome())) {
            InstanceName home = InstanceName.of(message.getHome());
            mLeaderScheduler.withdraw(job.get(), home);
        }
        reply.accept(Envelope.newBuilder());
    }
}
