package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.Peer;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.SubmitWork;
import org.wagtailproxy.wire.WorkAnswer;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Submits the jobs of this instance's callers to the leader and answers the callers. Confined to
 * the event loop.
 *
 * <p>If the leader of a job is lost, the job is submitted to the next leader, with attempt numbers
 * above all that the lost leader may have used. From then on a refusal is reported as an abandoned
 * job, since a task may have been started.
 */
final class JobRelay {

    /** Exceeds the number of attempts that one leader makes at a task within the time of a job. */
    private static final int MAX_ATTEMPTS_PER_LEADER = 64;

    /** Pause before a job that was handed over is submitted again to the same leader. */
    private static final long RESUBMIT_DELAY_MILLIS = 30;

    /** Time for which the leader's answer is awaited after the caller timeout. */
    private static final long ANSWER_SLACK_MILLIS = 300;

    /** Retry delay reported to a caller while there is no leader; a leader is elected by then. */
    private static final long NO_LEADER_RETRY_MILLIS = 1000;

    /**
     * Time for which a reachable former leader is awaited to hand over a job: it learns from a
     * probe that this instance follows another leader, and hands over at its next tick.
     */
    private static final long HAND_OVER_MILLIS =
            LeaderElection.PROBE_TIMEOUT.toMillis() + LeaderElection.TICK_MILLIS;

    /** Time within which a leader that refuses connections is found to be dead by its probes. */
    private static final long REFUSAL_VALID_NANOS =
            TimeUnit.MILLISECONDS.toNanos(3 * LeaderElection.TICK_MILLIS);

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final LeaderElection mElection;
    private final PeerTransport mClient;
    private final LeaderScheduler mLeaderScheduler;
    private final JobWithdrawals mWithdrawals;
    private final DecisionLog mLog;
    private final Map<JobId, HomeJob> mJobs = new HashMap<>();

    /** A job for whose outcome callers of this instance wait. */
    private static final class HomeJob {
        private final WorkSpec mSpec;
        private final long mArrivedNanos;
        private final long mDeadlineNanos;
        private final Map<Object, Consumer<WorkOutcome>> mCallers = new HashMap<>();
        private WorkProgress mProgress = WorkProgress.NONE;

        /** The progress with which the job was last submitted to a leader. */
        private WorkProgress mSubmittedProgress = WorkProgress.NONE;

        private Peer mLeader;
        private Peer mFormerLeader;

        /** Data centres in which the leader may have started tasks since it has the job. */
        private DataCentreScope mLeaderScope = DataCentreScope.EMPTY;

        /** The leader that has refused a connection for the last submission, and when. */
        private Option<InstanceName> mRefusingLeader = Option.none();

        private long mRefusedNanos;

        private int mSubmissionCount;
        private boolean mMayHaveStarted;
        private boolean mAwaitsHandOver;
        private boolean mForwarded;

        private HomeJob(WorkSpec spec, long arrivedNanos, long deadlineNanos) {
            mSpec = spec;
            mArrivedNanos = arrivedNanos;
            mDeadlineNanos = deadlineNanos;
        }
    }

    JobRelay(
            DispatcherSettings settings,
            EventLoop loop,
            LeaderElection election,
            PeerTransport client,
            LeaderScheduler leaderScheduler,
            JobWithdrawals withdrawals,
            DecisionLog log) {
        mSettings = settings;
        mLoop = loop;
        mElection = election;
        mClient = client;
        mLeaderScheduler = leaderScheduler;
        mWithdrawals = withdrawals;
        mLog = log;
    }

    /**
     * Submits a job to the leader, or adds the caller to the open job with the same id.
     *
     * @param callerTimeoutMillis how long the caller waits, in milliseconds
     * @param caller identifies the request, for {@link #withdraw}
     * @param answer receives the outcome
     */
    void submit(
            WorkSpec spec, long callerTimeoutMillis, Object caller, Consumer<WorkOutcome> answer) {
        long nowNanos = mLoop.nowNanos();
        HomeJob existing = mJobs.get(spec.id());
        if (existing != null) {
            existing.mCallers.put(caller, answer);
            return;
        }
        mLog.jobAccepted(spec, callerTimeoutMillis);
        HomeJob job = new HomeJob(spec, nowNanos, nowNanos + callerTimeoutMillis * NANOS_PER_MILLI);
        job.mCallers.put(caller, answer);
        mJobs.put(spec.id(), job);
        submitToLeader(job);
    }

    /**
     * Removes a caller that has disconnected; withdraws the job if no other caller waits for it.
     */
    void withdraw(JobId id, Object caller) {
        HomeJob job = mJobs.get(id);
        if (job == null || job.mCallers.remove(caller) == null || !job.mCallers.isEmpty()) {
            return;
        }
        mJobs.remove(id);
        withdrawFromLeader(job);
    }

    /**
     * Withdraws a job for all its callers, who receive the outcome "abandoned".
     *
     * @return false if the job is not open here, or if it is a stored job, which only the
     *     coordinator of the stored jobs can cancel
     */
    boolean cancel(JobId id) {
        HomeJob job = mJobs.get(id);
        if (job == null || job.mSpec.isStored()) {
            return false;
        }
        withdrawFromLeader(job);
        finish(job, WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "cancelled"));
        return true;
    }

    /** Withdraws all jobs because this process ends; their callers receive "abandoned". */
    void abandonAll() {
        for (HomeJob job : List.copyOf(mJobs.values())) {
            withdrawFromLeader(job);
            finish(job, unfinished(job, "process ends"));
        }
    }

    /** Returns the outcome of a job that no leader has ended; no leader may have received it. */
    private static WorkOutcome unfinished(HomeJob job, String reason) {
        return job.mSubmissionCount == 0
                ? WorkOutcome.refused(reason, NO_LEADER_RETRY_MILLIS)
                : WorkOutcome.of(WorkOutcome.Kind.ABANDONED, reason);
    }

    boolean isOpen(JobId id) {
        return mJobs.containsKey(id);
    }

    int openJobs() {
        return mJobs.size();
    }

    /**
     * Submits jobs to the current leader if they have no leader or were submitted to another one.
     */
    void reassignJobs() {
        if (mElection.leader().isEmpty()) {
            return;
        }
        Peer leader = mElection.leader().get();
        for (HomeJob job : List.copyOf(mJobs.values())) {
            boolean isRelayed = job.mForwarded && isStillRelaying(job.mLeader);
            boolean hasOtherLeader =
                    job.mLeader != null && !job.mLeader.name().equals(leader.name());
            if (hasOtherLeader && !isRelayed) {
                if (canHandOver(job.mLeader)) {
                    awaitHandOver(job);
                    continue;
                }
                onLeaderLost(job, "another leader");
            }
            if (job.mLeader == null && mJobs.containsKey(job.mSpec.id())) {
                submitToLeader(job);
            }
        }
    }

    /**
     * Checks whether a former leader still relays the answers of jobs that it has forwarded, as a
     * leader does that stops as planned.
     */
    private boolean isStillRelaying(Peer leader) {
        return leader != null && (mElection.isSelf(leader) || mElection.isReachable(leader.name()));
    }

    /** Checks whether a former leader can still hand over the jobs that it has. */
    private boolean canHandOver(Peer leader) {
        return !mElection.isSelf(leader) && mElection.isReachable(leader.name());
    }

    /** Leaves a job to its former leader until that has handed it over or the time is up. */
    private void awaitHandOver(HomeJob job) {
        if (job.mAwaitsHandOver) {
            return;
        }
        job.mAwaitsHandOver = true;
        int submissionCount = job.mSubmissionCount;
        mLoop.schedule(
                HAND_OVER_MILLIS,
                () -> {
                    if (mJobs.get(job.mSpec.id()) == job
                            && job.mSubmissionCount == submissionCount
                            && job.mLeader != null) {
                        onNotHandedOver(job);
                    }
                });
    }

    private void onNotHandedOver(HomeJob job) {
        if (job.mForwarded && isStillRelaying(job.mLeader)) {
            job.mAwaitsHandOver = false;
            return;
        }
        // Also if it is followed again: it may have handed the job over and the answer was lost.
        onLeaderLost(job, "not handed over");
        if (mJobs.containsKey(job.mSpec.id())) {
            submitToLeader(job);
        }
    }

    /** Ends jobs that no leader has answered in time, and submits those that have no leader. */
    void tick() {
        long nowNanos = mLoop.nowNanos();
        for (HomeJob job : new ArrayList<>(mJobs.values())) {
            if (nowNanos > job.mDeadlineNanos + ANSWER_SLACK_MILLIS * NANOS_PER_MILLI) {
                withdrawFromLeader(job);
                finish(job, unfinished(job, "no answer in time"));
            } else if (job.mSubmissionCount == 0 && isUnattainable(job, nowNanos)) {
                finish(job, WorkOutcome.refused("no leader in time", NO_LEADER_RETRY_MILLIS));
            } else if (job.mLeader == null) {
                submitToLeader(job);
            }
        }
    }

    /** Checks whether a job that was not submitted to any leader is past its useful time. */
    private static boolean isUnattainable(HomeJob job, long nowNanos) {
        long usefulMillis = 3 * job.mSpec.objectiveMillis() - job.mSpec.criticalPathMillis();
        return nowNanos - job.mArrivedNanos > usefulMillis * NANOS_PER_MILLI;
    }

    private void submitToLeader(HomeJob job) {
        if (!mElection.isLeaderReady()) {
            return;
        }
        Peer leader = mElection.leader().get();
        if (isRefusedBy(leader, job) || !hasCallers(job, leader)) {
            return;
        }
        if (job.mFormerLeader != null && !job.mFormerLeader.name().equals(leader.name())) {
            // The former leader may be alive and must not place tasks of this job any more.
            withdraw(job, job.mFormerLeader);
        }
        job.mFormerLeader = null;
        job.mAwaitsHandOver = false;
        job.mLeader = leader;
        job.mLeaderScope = mElection.scope(leader);
        job.mSubmittedProgress = job.mProgress;
        int submissionCount = ++job.mSubmissionCount;
        Consumer<Either<WorkProgress, WorkOutcome>> answer =
                result -> {
                    if (mJobs.get(job.mSpec.id()) != job) {
                        return;
                    }
                    if (job.mSubmissionCount == submissionCount) {
                        onResult(job, result);
                    } else {
                        result.swap().forEach(progress -> onLateHandOver(job, progress));
                    }
                };
        if (mElection.isSelf(leader)) {
            mLeaderScheduler.submit(
                    job.mSpec,
                    job.mProgress,
                    job.mArrivedNanos,
                    job.mDeadlineNanos,
                    mSettings.home(),
                    true,
                    answer);
            return;
        }
        sendToLeader(job, leader, submissionCount, answer);
    }

    /**
     * Checks whether a caller still waits for a job that is to be submitted. One that has
     * disconnected may have sent the job elsewhere.
     */
    private boolean hasCallers(HomeJob job, Peer leader) {
        if (mElection.isSelf(leader)) {
            mLeaderScheduler.checkHomes();
        }
        if (job.mSubmissionCount > 0) {
            mLeaderScheduler.withdrawJobsOfDisconnectedCallers();
        }
        return mJobs.get(job.mSpec.id()) == job;
    }

    private void sendToLeader(
            HomeJob job,
            Peer leader,
            int submissionCount,
            Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        mWithdrawals.onSubmitted(leader.address(), job.mSpec.id());
        mLog.jobSubmittedToLeader(
                job.mSpec.id(), leader.name(), submissionCount, job.mProgress.highestAttempt());
        long nowNanos = mLoop.nowNanos();
        long callerTimeoutMillis = Math.max(0, (job.mDeadlineNanos - nowNanos) / NANOS_PER_MILLI);
        SubmitWork.Builder work =
                WorkMessages.submit(job.mSpec, job.mProgress)
                        .setAgeMillis((nowNanos - job.mArrivedNanos) / NANOS_PER_MILLI)
                        .setPatienceMillis(callerTimeoutMillis)
                        .setHome(mSettings.name().value())
                        .setHomeIncarnation(MessageConverter.incarnation(mSettings.incarnation()))
                        .setReceiverClockNanos(mElection.clockNanos(leader));
        Duration timeout = Duration.ofMillis(callerTimeoutMillis + ANSWER_SLACK_MILLIS);
        mClient.call(leader.address(), Envelope.newBuilder().setSubmitWork(work), timeout)
                .thenAccept(
                        result ->
                                mLoop.execute(
                                        () -> onLeaderReply(job, submissionCount, answer, result)));
    }

    private void onLeaderReply(
            HomeJob job,
            int submissionCount,
            Consumer<Either<WorkProgress, WorkOutcome>> answer,
            Either<Failure, Envelope> result) {
        if (result.isRight() && result.get().hasWorkAnswer()) {
            WorkAnswer message = result.get().getWorkAnswer();
            answer.accept(
                    message.getKind() == WorkAnswer.Kind.MOVED
                            ? Either.left(
                                    WorkMessages.progress(job.mSpec.id(), message.getProgress()))
                            : Either.right(WorkMessages.outcome(message)));
        } else if (mJobs.get(job.mSpec.id()) == job
                && job.mSubmissionCount == submissionCount
                && job.mLeader != null) {
            if (result.isLeft() && result.getLeft().kind() == FailureKind.PEER_REFUSED) {
                onNotSent(job);
                return;
            }
            onLeaderLost(
                    job, result.isLeft() ? result.getLeft().kind().slug() : "unreadable answer");
        }
    }

    /**
     * Leaves a job to the next leader as it was. No connection to this one was opened, so it has
     * not received the submission and has started nothing; the next one need not wait for its runs
     * to end, and may refuse the job.
     */
    private void onNotSent(HomeJob job) {
        mLog.jobMoved(job.mSpec.id(), Option.some(job.mLeader.name()), "not sent");
        job.mRefusingLeader = Option.some(job.mLeader.name());
        job.mRefusedNanos = mLoop.nowNanos();
        job.mLeader = null;
        job.mProgress = job.mSubmittedProgress;
    }

    /** Checks whether the leader has just refused a connection and is probably being replaced. */
    private boolean isRefusedBy(Peer leader, HomeJob job) {
        return job.mRefusingLeader.contains(leader.name())
                && mLoop.nowNanos() - job.mRefusedNanos < REFUSAL_VALID_NANOS;
    }

    /** Adds what an earlier submission has led to; a later one may have crossed its hand-over. */
    private static void onLateHandOver(HomeJob job, WorkProgress handedOver) {
        job.mSubmittedProgress = job.mSubmittedProgress.merge(handedOver);
        job.mProgress = job.mProgress.merge(handedOver);
        job.mMayHaveStarted |= handedOver.highestAttempt() > 0;
    }

    private void onResult(HomeJob job, Either<WorkProgress, WorkOutcome> result) {
        if (result.isRight()) {
            finish(job, result.get());
            return;
        }
        // A leader that was given up may hand the job over before there is another one.
        Peer former = job.mLeader != null ? job.mLeader : job.mFormerLeader;
        mLog.jobMoved(job.mSpec.id(), Option.of(former).map(Peer::name), "handed over");
        boolean isSameLeader =
                former != null
                        && mElection.leader().exists(next -> next.name().equals(former.name()));
        job.mLeader = null;
        // It may have refused the latest submission only and still have the job from an earlier
        // one.
        job.mFormerLeader = job.mSubmissionCount > 1 ? former : null;
        job.mForwarded = false;
        WorkProgress handedOver = result.getLeft();
        DataCentreScope scope = handedOver.scope().union(job.mLeaderScope);
        // Replaces the attempts that were added if this leader had been given up.
        job.mProgress = job.mSubmittedProgress.merge(handedOver.startedIn(scope));
        job.mMayHaveStarted |= job.mProgress.highestAttempt() > 0;
        // Submitting the job again at once would only add load to an instance that does not lead
        // yet.
        mLoop.schedule(
                isSameLeader ? RESUBMIT_DELAY_MILLIS : 0,
                () -> {
                    if (mJobs.get(job.mSpec.id()) == job && job.mLeader == null) {
                        submitToLeader(job);
                    }
                });
    }

    /**
     * Records that a job is forwarded to another data centre.
     *
     * @return the leader that the job is submitted to, which alone may forward it; none if there is
     *     no such job or no leader
     */
    Option<InstanceName> markForwarded(JobId id) {
        HomeJob job = mJobs.get(id);
        if (job == null || job.mLeader == null) {
            return Option.none();
        }
        job.mForwarded = true;
        return Option.some(job.mLeader.name());
    }

    private void onLeaderLost(HomeJob job, String reason) {
        mLog.jobMoved(job.mSpec.id(), Option.some(job.mLeader.name()), reason);
        if (job.mForwarded) {
            // The next leader cannot poll the servers that run the job; the caller submits it again
            // after its end.
            job.mMayHaveStarted = true;
            withdrawFromLeader(job);
            finish(job, WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "leader lost, ran elsewhere"));
            return;
        }
        job.mFormerLeader = job.mLeader;
        job.mLeader = null;
        job.mMayHaveStarted = true;
        DataCentreScope scope = job.mLeaderScope.union(mElection.scope(job.mFormerLeader));
        job.mProgress = job.mProgress.plusAttempts(MAX_ATTEMPTS_PER_LEADER, scope);
    }

    private void withdrawFromLeader(HomeJob job) {
        // A leader that was given up may be alive and still have the job.
        Peer leader = job.mLeader != null ? job.mLeader : job.mFormerLeader;
        if (leader != null) {
            withdraw(job, leader);
        }
    }

    private void withdraw(HomeJob job, Peer leader) {
        if (mElection.isSelf(leader)) {
            mLeaderScheduler.withdraw(job.mSpec.id(), mSettings.home());
            return;
        }
        mWithdrawals.withdraw(leader.address(), job.mSpec.id(), job.mDeadlineNanos);
    }

    private void finish(HomeJob job, WorkOutcome outcome) {
        mJobs.remove(job.mSpec.id());
        WorkOutcome reported =
                outcome.kind() == WorkOutcome.Kind.REFUSED && job.mMayHaveStarted
                        ? WorkOutcome.of(WorkOutcome.Kind.ABANDONED, outcome.reason())
                        : outcome;
        mLog.jobAnswered(
                job.mSpec, reported, (mLoop.nowNanos() - job.mArrivedNanos) / NANOS_PER_MILLI);
        job.mCallers.values().forEach(caller -> caller.accept(reported));
    }
}
