package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.leadership.Peer;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.AskJob;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.JobTold;
import org.wagtailproxy.workload.JobCondition;
import org.wagtailproxy.workload.JobId;

/** The callers' part of stored jobs: asks the leader for them. Confined to the event loop. */
final class StoredJobClient {

    /** How long an answer may take; a cancelled job has to be written to the store first. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(900);

    /** How often the leader is asked, since it may be lost meanwhile. */
    private static final int MOST_TRIES = 4;

    private static final long RETRY_MILLIS = 250;

    private final EventLoop mLoop;
    private final LeaderElection mElection;
    private final PeerClient mClient;
    private final StoredJobCoordinator mCoordinator;

    private boolean mJobsKept;

    StoredJobClient(
            EventLoop loop,
            LeaderElection election,
            PeerClient client,
            StoredJobCoordinator coordinator) {
        mLoop = loop;
        mElection = election;
        mClient = client;
        mCoordinator = coordinator;
    }

    /** Tests whether this instance or a leader that it followed has ever kept a stored job. */
    boolean jobsKept() {
        mJobsKept |= mElection.leaderKeepsJobs() || mCoordinator.keepsAny();
        return mJobsKept;
    }

    void condition(JobId job, Consumer<JobCondition> answer) {
        AskJob question = AskJob.newBuilder().setJob(job.value()).build();
        ask(question, 1, told -> answer.accept(condition(told.getCondition())));
    }

    void cancel(JobId job, Consumer<JobCondition> answer) {
        AskJob question = AskJob.newBuilder().setJob(job.value()).setCancel(true).build();
        ask(question, 1, told -> answer.accept(condition(told.getCondition())));
    }

    /** Counts the jobs of a queue that have not begun; none if the leader does not tell. */
    void pending(String queue, Consumer<Option<Integer>> answer) {
        if (!jobsKept()) {
            answer.accept(Option.some(0));
            return;
        }
        AskJob question = AskJob.newBuilder().setQueue(queue).build();
        ask(
                question,
                1,
                told -> {
                    boolean vain = told.getCondition() == JobTold.Condition.UNAVAILABLE;
                    answer.accept(vain ? Option.none() : Option.some(told.getPending()));
                });
    }

    /** Answers what another instance, or this one, asks the leader. */
    void answer(AskJob question, Consumer<JobTold.Builder> answer) {
        if (!question.getQueue().isEmpty()) {
            JobTold.Condition condition =
                    mCoordinator.keeps() ? JobTold.Condition.QUEUED : JobTold.Condition.UNAVAILABLE;
            int pending = mCoordinator.pending(question.getQueue());
            answer.accept(JobTold.newBuilder().setCondition(condition).setPending(pending));
            return;
        }
        Consumer<JobCondition> told =
                condition -> answer.accept(JobTold.newBuilder().setCondition(message(condition)));
        Option<JobId> job = JobId.parse(question.getJob());
        if (job.isEmpty()) {
            told.accept(JobCondition.GONE);
        } else if (question.getCancel()) {
            mCoordinator.cancel(job.get(), told);
        } else {
            mCoordinator.ask(job.get(), told);
        }
    }

    private void ask(AskJob question, int attempt, Consumer<JobTold> answer) {
        Consumer<JobTold> checked =
                told -> {
                    boolean vain = told.getCondition() == JobTold.Condition.UNAVAILABLE;
                    if (vain && attempt < MOST_TRIES) {
                        mLoop.later(RETRY_MILLIS, () -> ask(question, attempt + 1, answer));
                    } else {
                        answer.accept(told);
                    }
                };
        if (mElection.leader().isEmpty()) {
            checked.accept(JobTold.getDefaultInstance());
            return;
        }
        Peer leader = mElection.leader().get();
        if (mElection.isSelf(leader)) {
            // The keeper answers when the store does, which may take any time.
            AtomicBoolean open = new AtomicBoolean(true);
            Consumer<JobTold> first =
                    told -> {
                        if (open.getAndSet(false)) {
                            checked.accept(told);
                        }
                    };
            answer(question, told -> first.accept(told.build()));
            mLoop.later(
                    ANSWER_TIMEOUT.toMillis(), () -> first.accept(JobTold.getDefaultInstance()));
            return;
        }
        mClient.call(leader.address(), Envelope.newBuilder().setAskJob(question), ANSWER_TIMEOUT)
                .thenAccept(result -> mLoop.run(() -> checked.accept(told(result))));
    }

    private static JobTold told(Either<Failure, Envelope> result) {
        boolean told = result.isRight() && result.get().hasJobTold();
        return told ? result.get().getJobTold() : JobTold.getDefaultInstance();
    }

    private static JobTold.Condition message(JobCondition condition) {
        return switch (condition) {
            case UNAVAILABLE -> JobTold.Condition.UNAVAILABLE;
            case GONE -> JobTold.Condition.GONE;
            case QUEUED -> JobTold.Condition.QUEUED;
            case RUNNING -> JobTold.Condition.RUNNING;
            case COMPLETE -> JobTold.Condition.COMPLETE;
            case FAILED -> JobTold.Condition.FAILED;
            case CANCELLED -> JobTold.Condition.CANCELLED;
        };
    }

    private static JobCondition condition(JobTold.Condition condition) {
        return switch (condition) {
            case GONE -> JobCondition.GONE;
            case QUEUED -> JobCondition.QUEUED;
            case RUNNING -> JobCondition.RUNNING;
            case COMPLETE -> JobCondition.COMPLETE;
            case FAILED -> JobCondition.FAILED;
            case CANCELLED -> JobCondition.CANCELLED;
            default -> JobCondition.UNAVAILABLE;
        };
    }
}
