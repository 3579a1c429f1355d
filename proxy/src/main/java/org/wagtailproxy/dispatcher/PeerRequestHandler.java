package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;
import org.wagtailproxy.wire.SubmitWork;
import org.wagtailproxy.wire.WithdrawWork;
import org.wagtailproxy.wire.WorkAnswer;
import org.wagtailproxy.wire.WorkForwarded;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Executes and answers the requests of other instances: probes, submitted and withdrawn jobs, and
 * queries for stored jobs. Work is done on the event loop.
 */
final class PeerRequestHandler {

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Time after a withdrawal in which the submission that it belongs to may arrive on an older
     * connection; shorter than the time after which a caller submits the job again.
     */
    private static final long WITHDRAWAL_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop mLoop;
    private final LeaderElection mElection;
    private final HomeMonitor mHomes;
    private final LeaderScheduler mLeaderScheduler;
    private final JobRelay mJobRelay;
    private final StoredJobClient mStoredJobClient;
    private final Predicate<DataCentre> mSamePool;
    private final Map<Submission, Long> mWithdrawnNanos = new HashMap<>();
    private final Set<ReceivedSubmission> mReceivedSubmissions = new LinkedHashSet<>();

    /** A job that a home has submitted. */
    private record Submission(JobId job, HomeProcess home) {}

    /** A submission that has been received but not handled. */
    private static final class ReceivedSubmission {
        private final SubmitWork mMessage;
        private final Consumer<Envelope.Builder> mReply;

        private ReceivedSubmission(SubmitWork message, Consumer<Envelope.Builder> reply) {
            mMessage = message;
            mReply = reply;
        }

        private boolean isMeantBy(WithdrawWork withdrawal) {
            return mMessage.getJob().equals(withdrawal.getJob())
                    && mMessage.getHome().equals(withdrawal.getHome())
                    && mMessage.getHomeIncarnation().equals(withdrawal.getHomeIncarnation());
        }
    }

    PeerRequestHandler(
            EventLoop loop,
            LeaderElection election,
            HomeMonitor homes,
            LeaderScheduler leaderScheduler,
            JobRelay jobRelay,
            StoredJobClient storedJobClient,
            Predicate<DataCentre> samePool) {
        mLoop = loop;
        mElection = election;
        mHomes = homes;
        mLeaderScheduler = leaderScheduler;
        mJobRelay = jobRelay;
        mStoredJobClient = storedJobClient;
        mSamePool = samePool;
    }

    /** Executes a request on the event loop; may be called by any thread. */
    void handle(Envelope request, Consumer<Envelope.Builder> reply) {
        mLoop.execute(() -> handleOnLoop(request, reply));
    }

    private void handleOnLoop(Envelope request, Consumer<Envelope.Builder> reply) {
        switch (request.getBodyCase()) {
            case PRESENCE -> reply.accept(onProbe(request.getPresence()));
            case SUBMIT_WORK -> receive(request.getSubmitWork(), reply);
            case ASK_JOB ->
                    mStoredJobClient.answerQuery(
                            request.getAskJob(),
                            answer -> reply.accept(Envelope.newBuilder().setJobTold(answer)));
            case WITHDRAW_WORK -> onWithdrawWork(request.getWithdrawWork(), reply);
            case WORK_FORWARDED -> onWorkForwarded(request.getWorkForwarded(), reply);
            default -> reply.accept(Envelope.newBuilder());
        }
    }

    /**
     * Answers a probe. The answer carries the free capacity if this instance leads and the sender
     * belongs to another pool.
     */
    private Envelope.Builder onProbe(Presence probe) {
        boolean hasNames = Names.isName(probe.getName()) && Names.isName(probe.getDataCentre());
        // An instance of the pool may have lost its registration in a network partition; it does
        // not count as remote.
        boolean isRemote = hasNames && !mSamePool.test(DataCentre.of(probe.getDataCentre()));
        if (hasNames) {
            mHomes.onProbeReceived(probe, isRemote);
        }
        Presence.Builder presence = mElection.answerProbe(probe);
        if (hasNames) {
            presence.setSupportsReceiver(
                    mElection.promiseSupport(InstanceName.of(probe.getName())));
        }
        if (isRemote && mElection.isLeader()) {
            presence.setFreeCpuMillis(mLeaderScheduler.freeCpuMillis())
                    .setQueueMillis(mLeaderScheduler.maxEstimatedWaitMillis());
        }
        return Envelope.newBuilder().setPresence(presence);
    }

    /**
     * Handles a submission after all other messages that have arrived with it. After a pause or a
     * network partition its withdrawal may be among them.
     */
    private void receive(SubmitWork message, Consumer<Envelope.Builder> reply) {
        ReceivedSubmission submission = new ReceivedSubmission(message, reply);
        mReceivedSubmissions.add(submission);
        mLoop.schedule(
                0,
                () -> {
                    if (mReceivedSubmissions.remove(submission)) {
                        onSubmitWork(message, reply);
                    }
                });
    }

    private void dropReceivedSubmissions(WithdrawWork withdrawal) {
        for (ReceivedSubmission submission : List.copyOf(mReceivedSubmissions)) {
            if (submission.isMeantBy(withdrawal)) {
                mReceivedSubmissions.remove(submission);
                submission.mReply.accept(workAnswer(Either.right(withdrawnBefore())));
            }
        }
    }

    private static WorkOutcome withdrawnBefore() {
        return WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "withdrawn before");
    }

    private void onSubmitWork(SubmitWork message, Consumer<Envelope.Builder> reply) {
        Consumer<Either<WorkProgress, WorkOutcome>> answer =
                result -> reply.accept(workAnswer(result));
        Either<Failure, WorkSpec> spec = WorkMessages.spec(message);
        if (spec.isLeft() || !Names.isName(message.getHome())) {
            answer.accept(Either.right(WorkOutcome.refused("unreadable", 0)));
            return;
        }
        WorkProgress progress = WorkMessages.progress(spec.get().id(), message.getProgress());
        HomeProcess home =
                PresenceMessages.process(
                        InstanceName.of(message.getHome()), message.getHomeIncarnation());
        if (!mElection.isLeader()) {
            answer.accept(Either.left(progress));
            return;
        }
        mLeaderScheduler.detectSuspension();
        if (mElection.isOutdated(
                spec.get().id(), home, message.getForwarded(), message.getReceiverClockNanos())) {
            // A home that still waits for this instance submits the job again.
            answer.accept(Either.left(progress));
            return;
        }
        if (message.getForwarded() && wasJustWithdrawn(new Submission(spec.get().id(), home))) {
            answer.accept(
                    Either.right(WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "withdrawn before")));
            return;
        }
        boolean hasProbed = message.getForwarded() && mHomes.isForwarderAlive(home);
        boolean isKnown = mElection.isReachable(home.name()) || hasProbed;
        if (!isKnown && message.getForwarded()) {
            // A leader probes before it forwards, so this message was delayed: its sender is lost,
            // or has given the job up.
            answer.accept(Either.left(progress));
            return;
        }
        if (!isKnown) {
            // After a network partition, requests of a peer can arrive before a probe finds it
            // reachable. An instance outside the pool may not know yet that the fleet is divided;
            // an earlier leader may have started its job on servers that are not listed here.
            mLeaderScheduler.onPartitionHealed();
        }
        submit(spec.get(), progress, message, home, answer);
    }

    private void submit(
            WorkSpec spec,
            WorkProgress progress,
            SubmitWork message,
            HomeProcess home,
            Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        mHomes.recordSubmission(home, message.getForwarded(), message.getReceiverClockNanos());
        long nowNanos = mLoop.nowNanos();
        mLeaderScheduler.submit(
                spec,
                progress,
                nowNanos - message.getAgeMillis() * NANOS_PER_MILLI,
                nowNanos + message.getPatienceMillis() * NANOS_PER_MILLI,
                home,
                !message.getForwarded(),
                answer);
    }

    private static Envelope.Builder workAnswer(Either<WorkProgress, WorkOutcome> result) {
        return Envelope.newBuilder()
                .setWorkAnswer(result.fold(WorkMessages::moved, WorkMessages::answer));
    }

    private void onWithdrawWork(WithdrawWork message, Consumer<Envelope.Builder> reply) {
        dropReceivedSubmissions(message);
        Option<JobId> job = JobId.parse(message.getJob());
        if (job.isDefined() && Names.isName(message.getHome())) {
            HomeProcess home =
                    PresenceMessages.process(
                            InstanceName.of(message.getHome()), message.getHomeIncarnation());
            mWithdrawnNanos.values().removeIf(this::isOldWithdrawal);
            mWithdrawnNanos.put(new Submission(job.get(), home), mLoop.nowNanos());
            mLeaderScheduler.withdraw(job.get(), home);
        }
        reply.accept(Envelope.newBuilder());
    }

    private boolean wasJustWithdrawn(Submission submission) {
        Long withdrawnNanos = mWithdrawnNanos.get(submission);
        return withdrawnNanos != null && !isOldWithdrawal(withdrawnNanos);
    }

    private boolean isOldWithdrawal(long withdrawnNanos) {
        return mLoop.nowNanos() - withdrawnNanos > WITHDRAWAL_RETENTION_NANOS;
    }

    /** Confirms that a job is forwarded, with the name of the leader that this home waits for. */
    private void onWorkForwarded(WorkForwarded message, Consumer<Envelope.Builder> reply) {
        Option<InstanceName> leader =
                JobId.parse(message.getJob()).flatMap(mJobRelay::markForwarded);
        Envelope.Builder answer = Envelope.newBuilder();
        leader.forEach(
                name ->
                        answer.setWorkAnswer(
                                WorkAnswer.newBuilder()
                                        .setKind(WorkAnswer.Kind.ACCEPTED)
                                        .setReason(name.value())));
        reply.accept(answer);
    }
}
