package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.leadership.Peer;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.AskJob;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.JobTold;
import org.wagtailproxy.workload.JobCondition;
import org.wagtailproxy.workload.JobId;

/**
 * Queries and cancels stored jobs at the leader, for the callers of this instance, and answers such
 * queries of other instances. Confined to the event loop.
 */
final class StoredJobClient {

    /** Timeout of a query; a cancellation has to be written to the store before it is answered. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(900);

    /** Queries are repeated, since the leader may be lost or replaced meanwhile. */
    private static final int MAX_ATTEMPTS = 4;

    private static final long RETRY_MILLIS = 250;

    private final EventLoop mLoop;
    private final LeaderElection mElection;
    private final PeerTransport mClient;
    private final LeaderScheduler mLeaderScheduler;
    private final StoredJobCoordinator mCoordinator;
    private final StoredJobsMonitor mMonitor;

    StoredJobClient(
            EventLoop loop,
            LeaderElection election,
            PeerTransport client,
            LeaderScheduler leaderScheduler,
            StoredJobsMonitor monitor) {
        mLoop = loop;
        mElection = election;
        mClient = client;
        mLeaderScheduler = leaderScheduler;
        mCoordinator = leaderScheduler.coordinator();
        mMonitor = monitor;
    }

    /**
     * Checks whether there may be stored jobs. Their absence is known only from the store's record;
     * a leader's report that it coordinates some may come earlier.
     */
    boolean mayHaveStoredJobs() {
        return mMonitor.areJobsPossible()
                || mElection.leaderCoordinatesStoredJobs()
                || mCoordinator.hasJobs();
    }

    /**
     * Checks whether something shows that there may be stored jobs, as opposed to {@link
     * #mayHaveStoredJobs} while nothing has been read.
     */
    boolean hasSignOfStoredJobs() {
        return mMonitor.isRead() && mayHaveStoredJobs();
    }

    void condition(JobId job, Consumer<JobCondition> answer) {
        AskJob query = AskJob.newBuilder().setJob(job.value()).build();
        query(query, 1, reply -> answer.accept(fromMessage(reply.getCondition())));
    }

    void cancel(JobId job, Consumer<JobCondition> answer) {
        AskJob query = AskJob.newBuilder().setJob(job.value()).setCancel(true).build();
        query(query, 1, reply -> answer.accept(fromMessage(reply.getCondition())));
    }

    /** Counts the unstarted jobs of a queue; none if the leader does not answer. */
    void countPending(String queue, Consumer<Option<Integer>> answer) {
        if (!mayHaveStoredJobs()) {
            answer.accept(Option.some(0));
            return;
        }
        AskJob query = AskJob.newBuilder().setQueue(queue).build();
        query(
                query,
                1,
                reply -> {
                    boolean unavailable = reply.getCondition() == JobTold.Condition.UNAVAILABLE;
                    answer.accept(unavailable ? Option.none() : Option.some(reply.getPending()));
                });
    }

    /** Answers a query of another instance or of this one. */
    void answerQuery(AskJob query, Consumer<JobTold.Builder> answer) {
        if (!query.getQueue().isEmpty()) {
            mCoordinator.countUnstarted(
                    query.getQueue(), count -> answer.accept(pendingAnswer(count)));
            return;
        }
        Consumer<JobCondition> conditionAnswer =
                condition -> answer.accept(JobTold.newBuilder().setCondition(toMessage(condition)));
        Option<JobId> job = JobId.parse(query.getJob());
        if (job.isEmpty()) {
            conditionAnswer.accept(JobCondition.GONE);
        } else if (query.getCancel() && mLeaderScheduler.cancel(job.get())) {
            conditionAnswer.accept(JobCondition.CANCELLED);
        } else if (query.getCancel()) {
            mCoordinator.cancel(job.get(), conditionAnswer);
        } else {
            mCoordinator.query(job.get(), conditionAnswer);
        }
    }

    private static JobTold.Builder pendingAnswer(Option<Integer> count) {
        return count.map(
                        pending ->
                                JobTold.newBuilder()
                                        .setCondition(JobTold.Condition.QUEUED)
                                        .setPending(pending))
                .getOrElse(() -> JobTold.newBuilder().setCondition(JobTold.Condition.UNAVAILABLE));
    }

    private void query(AskJob query, int attempt, Consumer<JobTold> answer) {
        Consumer<JobTold> retryIfUnavailable =
                reply -> {
                    boolean unavailable = reply.getCondition() == JobTold.Condition.UNAVAILABLE;
                    if (unavailable && attempt < MAX_ATTEMPTS) {
                        mLoop.schedule(RETRY_MILLIS, () -> query(query, attempt + 1, answer));
                    } else {
                        answer.accept(reply);
                    }
                };
        if (mElection.leader().isEmpty()) {
            retryIfUnavailable.accept(JobTold.getDefaultInstance());
            return;
        }
        Peer leader = mElection.leader().get();
        if (mElection.isSelf(leader)) {
            // The coordinator answers only after the store does, which may take any time.
            AtomicBoolean open = new AtomicBoolean(true);
            Consumer<JobTold> firstReply =
                    reply -> {
                        if (open.getAndSet(false)) {
                            retryIfUnavailable.accept(reply);
                        }
                    };
            answerQuery(query, reply -> firstReply.accept(reply.build()));
            mLoop.schedule(
                    ANSWER_TIMEOUT.toMillis(),
                    () -> firstReply.accept(JobTold.getDefaultInstance()));
            return;
        }
        mClient.call(leader.address(), Envelope.newBuilder().setAskJob(query), ANSWER_TIMEOUT)
                .thenAccept(
                        result ->
                                mLoop.execute(() -> retryIfUnavailable.accept(readAnswer(result))));
    }

    private static JobTold readAnswer(Either<Failure, Envelope> result) {
        boolean hasAnswer = result.isRight() && result.get().hasJobTold();
        return hasAnswer ? result.get().getJobTold() : JobTold.getDefaultInstance();
    }

    private static JobTold.Condition toMessage(JobCondition condition) {
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

    private static JobCondition fromMessage(JobTold.Condition condition) {
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
