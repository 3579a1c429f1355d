package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.scheduling.SpillOver;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.SubmitWork;
import org.wagtailproxy.wire.WorkAnswer;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Forwards jobs to the leaders of other data centres and tracks them until they are answered.
 * Confined to the event loop.
 *
 * <p>A job is submitted to the remote leader once its home instances have confirmed that they know
 * of it. One that the remote leader hands over goes to the next leader of that data centre, or back
 * to its homes if no task was started. A job whose remote leader is lost is abandoned: its tasks
 * may still run in that data centre, where no instance here can poll the backend servers. The job
 * is withdrawn there, and the remote leader withdraws it by itself once it receives no more probes
 * from this instance.
 */
final class RemoteJobForwarder implements JobForwarder {

    /** Time for which the remote answer is awaited after the caller timeout. */
    private static final long ANSWER_SLACK_MILLIS = 200;

    /** Pause before a home instance that has joined a forwarded job is notified again. */
    private static final long NOTICE_RETRY_MILLIS = 50;

    /** Pause before the next remote leader is looked for again. */
    private static final long NEXT_LEADER_RETRY_MILLIS = 50;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final PeerTransport mClient;
    private final RemoteLeaders mRemoteLeaders;
    private final SpillOver mSpillOver;
    private final DecisionLog mLog;
    private final JobWithdrawals mWithdrawals;
    private final HomeNotifier mHomeNotifier;
    private final Map<JobId, ForwardedJob> mForwardedJobs = new HashMap<>();

    /** Informs home instances of jobs that are forwarded. */
    interface HomeNotifier {

        /**
         * Informs the home instance of a job that the job runs in another data centre.
         *
         * @param informed receives whether the home has confirmed it and waits for this leader
         */
        void notifyHome(JobId job, HomeProcess home, Consumer<Boolean> informed);
    }

    /**
     * A job that is forwarded to the leader of another data centre, with the home instances that
     * wait for its outcome.
     */
    private static final class ForwardedJob {
        private final WorkSpec mSpec;
        private final long mArrivedNanos;
        private final long mDeadlineNanos;
        private final DataCentre mDataCentre;
        private final Map<HomeProcess, Consumer<Either<WorkProgress, WorkOutcome>>> mHomes;
        private final Set<HomeProcess> mUninformedHomes;
        private WorkProgress mProgress = WorkProgress.NONE;
        private HostAddress mLeader;
        private boolean mSubmitted;

        private ForwardedJob(
                WorkSpec spec, PendingJob pendingJob, DataCentre dataCentre, HostAddress leader) {
            mSpec = spec;
            mDataCentre = dataCentre;
            mArrivedNanos = pendingJob.arrivedNanos();
            mDeadlineNanos = pendingJob.deadlineNanos();
            mLeader = leader;
            mHomes = new LinkedHashMap<>(pendingJob.homes());
            mUninformedHomes = new HashSet<>(mHomes.keySet());
        }

        private JobId id() {
            return mSpec.id();
        }
    }

    RemoteJobForwarder(
            DispatcherSettings settings,
            EventLoop loop,
            PeerTransport client,
            RemoteLeaders remoteLeaders,
            SpillOver spillOver,
            DecisionLog log,
            JobWithdrawals withdrawals,
            HomeNotifier homeNotifier) {
        mSettings = settings;
        mLoop = loop;
        mClient = client;
        mRemoteLeaders = remoteLeaders;
        mSpillOver = spillOver;
        mLog = log;
        mWithdrawals = withdrawals;
        mHomeNotifier = homeNotifier;
    }

    @Override
    public boolean forward(WorkSpec spec, PendingJob pendingJob, boolean evacuated) {
        long nowNanos = mLoop.nowNanos();
        Option<DataCentre> target =
                evacuated
                        ? mSpillOver.chooseForEvacuated(
                                spec, maxWaitMillis(spec, pendingJob, nowNanos), nowNanos)
                        : mSpillOver.chooseDataCentre(spec, nowNanos);
        Option<HostAddress> leader = target.flatMap(mRemoteLeaders::leaderAddress);
        if (leader.isEmpty()) {
            return false;
        }
        mLog.jobForwarded(spec.id(), target.get());
        ForwardedJob job = new ForwardedJob(spec, pendingJob, target.get(), leader.get());
        mForwardedJobs.put(spec.id(), job);
        List.copyOf(job.mHomes.keySet()).forEach(home -> notifyHome(job, home));
        return true;
    }

    @Override
    public void updateEvacuations(Evacuations evacuations) {
        mSpillOver.updateEvacuations(evacuations);
    }

    @Override
    public boolean isUnattainableElsewhere(WorkSpec spec, PendingJob pendingJob) {
        long nowNanos = mLoop.nowNanos();
        return !pendingJob.mayForward()
                || mSpillOver.isUnattainable(
                        mRemoteLeaders.dataCentres(),
                        maxWaitMillis(spec, pendingJob, nowNanos),
                        nowNanos);
    }

    /** Returns the time for which a job may wait and still meet its objective. */
    private static long maxWaitMillis(WorkSpec spec, PendingJob pendingJob, long nowNanos) {
        long ageMillis = (nowNanos - pendingJob.arrivedNanos()) / NANOS_PER_MILLI;
        return spec.objectiveMillis() - spec.criticalPathMillis() - ageMillis;
    }

    @Override
    public boolean join(
            JobId id,
            HomeProcess home,
            WorkProgress progress,
            Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        ForwardedJob job = mForwardedJobs.get(id);
        if (job == null) {
            return false;
        }
        job.mHomes.put(home, answer);
        if (progress.highestAttempt() > 0) {
            endForwarding(job, progress);
            return true;
        }
        job.mUninformedHomes.add(home);
        notifyHome(job, home);
        return true;
    }

    /**
     * Takes back a job that an earlier leader here may have started, of which no remote leader must
     * start a task. If one may have, the job runs in two data centres and is abandoned.
     */
    private void endForwarding(ForwardedJob job, WorkProgress progress) {
        if (!job.mSubmitted) {
            mForwardedJobs.remove(job.id());
            answerHomes(job, Either.left(progress));
            return;
        }
        mWithdrawals.withdraw(job.mLeader, job.id(), job.mDeadlineNanos);
        abandon(job, "ran here before");
    }

    private static void answerHomes(ForwardedJob job, Either<WorkProgress, WorkOutcome> answer) {
        job.mHomes.values().forEach(home -> home.accept(answer));
    }

    private void notifyHome(ForwardedJob job, HomeProcess home) {
        mHomeNotifier.notifyHome(job.id(), home, informed -> onHomeNotified(job, home, informed));
    }

    private void onHomeNotified(ForwardedJob job, HomeProcess home, boolean informed) {
        if (!isOpen(job) || !job.mUninformedHomes.contains(home)) {
            return;
        }
        if (informed) {
            job.mUninformedHomes.remove(home);
            submitIfHomesInformed(job);
        } else if (job.mSubmitted) {
            mLoop.schedule(
                    NOTICE_RETRY_MILLIS,
                    () -> {
                        if (isOpen(job) && job.mUninformedHomes.contains(home)) {
                            notifyHome(job, home);
                        }
                    });
        } else {
            mForwardedJobs.remove(job.id());
            // No home has reported an attempt, see join().
            answerHomes(job, Either.left(WorkProgress.NONE));
        }
    }

    private boolean isOpen(ForwardedJob job) {
        return mForwardedJobs.get(job.id()) == job;
    }

    /**
     * Submits a job to the remote leader once all its home instances know of it. Otherwise a home
     * could submit it to the next leader here, which cannot poll the servers that run it.
     */
    private void submitIfHomesInformed(ForwardedJob job) {
        if (job.mSubmitted || !job.mUninformedHomes.isEmpty()) {
            return;
        }
        submitToRemoteLeader(job);
    }

    private void submitToRemoteLeader(ForwardedJob job) {
        job.mSubmitted = true;
        mWithdrawals.onSubmitted(job.mLeader, job.id());
        long nowNanos = mLoop.nowNanos();
        long callerTimeoutMillis = Math.max(0, (job.mDeadlineNanos - nowNanos) / NANOS_PER_MILLI);
        SubmitWork.Builder work =
                WorkMessages.submit(job.mSpec, job.mProgress)
                        .setAgeMillis((nowNanos - job.mArrivedNanos) / NANOS_PER_MILLI)
                        .setPatienceMillis(callerTimeoutMillis)
                        .setHome(mSettings.name().value())
                        .setHomeIncarnation(MessageConverter.incarnation(mSettings.incarnation()))
                        .setForwarded(true)
                        .setReceiverClockNanos(mRemoteLeaders.leaderClockNanos(job.mDataCentre));
        Duration timeout = Duration.ofMillis(callerTimeoutMillis + ANSWER_SLACK_MILLIS);
        mClient.call(job.mLeader, Envelope.newBuilder().setSubmitWork(work), timeout)
                .thenAccept(answer -> mLoop.execute(() -> onAnswer(job, answer)));
    }

    @Override
    public void withdraw(JobId id, HomeProcess home) {
        ForwardedJob job = mForwardedJobs.get(id);
        if (job == null) {
            return;
        }
        job.mHomes.remove(home);
        job.mUninformedHomes.remove(home);
        if (!job.mHomes.isEmpty()) {
            submitIfHomesInformed(job);
            return;
        }
        mForwardedJobs.remove(id);
        if (job.mSubmitted) {
            mWithdrawals.withdraw(job.mLeader, id, job.mDeadlineNanos);
        }
    }

    @Override
    public boolean cancel(JobId id) {
        ForwardedJob job = mForwardedJobs.get(id);
        if (job == null) {
            return false;
        }
        if (job.mSubmitted) {
            mWithdrawals.withdraw(job.mLeader, id, job.mDeadlineNanos);
        }
        abandon(job, "cancelled");
        return true;
    }

    /** Withdraws and abandons the jobs of home instances that no longer wait for them. */
    void withdrawJobsOfLostHomes(Predicate<HomeProcess> isWaiting) {
        for (Map.Entry<JobId, ForwardedJob> each : List.copyOf(mForwardedJobs.entrySet())) {
            for (HomeProcess home : List.copyOf(each.getValue().mHomes.keySet())) {
                if (!isWaiting.test(home)) {
                    Consumer<Either<WorkProgress, WorkOutcome>> answer =
                            each.getValue().mHomes.get(home);
                    withdraw(each.getKey(), home);
                    answer.accept(
                            Either.right(WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "home lost")));
                }
            }
        }
    }

    int openJobs() {
        return mForwardedJobs.size();
    }

    private void onAnswer(ForwardedJob job, Either<Failure, Envelope> answer) {
        if (!isOpen(job)) {
            return;
        }
        boolean hasAnswer = answer.isRight() && answer.get().hasWorkAnswer();
        if (hasAnswer && answer.get().getWorkAnswer().getKind() == WorkAnswer.Kind.MOVED) {
            onHandedOver(job, answer.get().getWorkAnswer());
            return;
        }
        mForwardedJobs.remove(job.id());
        if (!hasAnswer) {
            // The remote leader may be alive and keeps the job as long as this instance probes it.
            mWithdrawals.withdraw(job.mLeader, job.id(), job.mDeadlineNanos);
        }
        WorkOutcome outcome =
                hasAnswer
                        ? outcomeOfAnswer(job, WorkMessages.outcome(answer.get().getWorkAnswer()))
                        : WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "remote leader lost");
        mLog.jobEnded(job.id(), outcome, false);
        answerHomes(job, Either.right(outcome));
    }

    /** A refusal says that no task has run, which an earlier remote leader may have started. */
    private static WorkOutcome outcomeOfAnswer(ForwardedJob job, WorkOutcome outcome) {
        boolean mayHaveStarted = job.mProgress.highestAttempt() > 0;
        return mayHaveStarted && outcome.kind() == WorkOutcome.Kind.REFUSED
                ? WorkOutcome.of(WorkOutcome.Kind.ABANDONED, outcome.reason())
                : outcome;
    }

    /**
     * Continues a job that the remote leader no longer has. Tasks that it has started go on in that
     * data centre, where only the next leader can adopt or stop them.
     */
    private void onHandedOver(ForwardedJob job, WorkAnswer answer) {
        job.mProgress = job.mProgress.merge(WorkMessages.progress(job.id(), answer.getProgress()));
        if (job.mProgress.highestAttempt() == 0) {
            mForwardedJobs.remove(job.id());
            answerHomes(job, Either.left(WorkProgress.NONE));
            return;
        }
        mRemoteLeaders.onHandedOver(job.mDataCentre);
        mLog.jobMoved(job.id(), Option.none(), "handed over by remote leader");
        mLoop.schedule(NEXT_LEADER_RETRY_MILLIS, () -> submitToNextRemoteLeader(job));
    }

    private void submitToNextRemoteLeader(ForwardedJob job) {
        if (!isOpen(job)) {
            return;
        }
        if (mLoop.nowNanos() >= job.mDeadlineNanos) {
            abandon(job, "no remote leader in time");
            return;
        }
        Option<HostAddress> next = mRemoteLeaders.confirmedLeaderAddress(job.mDataCentre);
        if (next.isDefined()) {
            job.mLeader = next.get();
            submitToRemoteLeader(job);
            return;
        }
        mLoop.schedule(NEXT_LEADER_RETRY_MILLIS, () -> submitToNextRemoteLeader(job));
    }

    private void abandon(ForwardedJob job, String reason) {
        mForwardedJobs.remove(job.id());
        WorkOutcome outcome = WorkOutcome.of(WorkOutcome.Kind.ABANDONED, reason);
        mLog.jobEnded(job.id(), outcome, false);
        answerHomes(job, Either.right(outcome));
    }
}
