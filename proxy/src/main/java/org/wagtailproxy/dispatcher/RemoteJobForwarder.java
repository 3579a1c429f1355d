package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.scheduling.SpillOver;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.SubmitWork;
import org.wagtailproxy.wire.WithdrawWork;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Forwards jobs to the leaders of other data centres and tracks them until they are answered.
 * Confined to the event loop.
 *
 * <p>A job whose remote leader is lost is abandoned: its tasks may still run in that data centre,
 * where no instance here can poll the backend servers. The remote leader withdraws such jobs once
 * it receives no more probes from this instance.
 */
final class RemoteJobForwarder implements JobForwarder {

    /** Time for which the remote answer is awaited after the caller timeout. */
    private static final long ANSWER_SLACK_MILLIS = 200;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final PeerClient mClient;
    private final RemoteLeaders mRemoteLeaders;
    private final SpillOver mSpillOver;
    private final DecisionLog mLog;
    private final BiConsumer<JobId, Collection<InstanceName>> mHomeNotifier;
    private final Map<JobId, ForwardedJob> mForwardedJobs = new HashMap<>();

    /**
     * A job that was forwarded to the leader of another data centre, with the home instances that
     * wait for its outcome.
     */
    private record ForwardedJob(
            HostAddress leader,
            Map<InstanceName, Consumer<Either<WorkProgress, WorkOutcome>>> homes) {}

    RemoteJobForwarder(
            DispatcherSettings settings,
            EventLoop loop,
            PeerClient client,
            RemoteLeaders remoteLeaders,
            SpillOver spillOver,
            DecisionLog log,
            BiConsumer<JobId, Collection<InstanceName>> homeNotifier) {
        mSettings = settings;
        mLoop = loop;
        mClient = client;
        mRemoteLeaders = remoteLeaders;
        mSpillOver = spillOver;
        mLog = log;
        mHomeNotifier = homeNotifier;
    }

    @Override
    public boolean forward(WorkSpec spec, PendingJob pendingJob) {
        long nowNanos = mLoop.nowNanos();
        Option<DataCentre> target = mSpillOver.chooseDataCentre(spec, nowNanos);
        Option<HostAddress> leader = target.flatMap(mRemoteLeaders::leaderAddress);
        if (leader.isEmpty()) {
            return false;
        }
        mLog.jobForwarded(spec.id(), target.get());
        ForwardedJob forwardedJob =
                new ForwardedJob(leader.get(), new HashMap<>(pendingJob.homes()));
        mForwardedJobs.put(spec.id(), forwardedJob);
        mHomeNotifier.accept(spec.id(), pendingJob.homes().keySet());
        long callerTimeoutMillis =
                Math.max(0, (pendingJob.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
        SubmitWork.Builder work =
                WorkMessages.submit(spec, WorkProgress.NONE)
                        .setAgeMillis((nowNanos - pendingJob.arrivedNanos()) / NANOS_PER_MILLI)
                        .setPatienceMillis(callerTimeoutMillis)
                        .setHome(mSettings.name().value())
                        .setForwarded(true);
        Duration timeout = Duration.ofMillis(callerTimeoutMillis + ANSWER_SLACK_MILLIS);
        mClient.call(leader.get(), Envelope.newBuilder().setSubmitWork(work), timeout)
                .thenAccept(
                        answer -> mLoop.execute(() -> onAnswer(spec.id(), forwardedJob, answer)));
        return true;
    }

    @Override
    public boolean join(
            JobId job, InstanceName home, Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        ForwardedJob forwardedJob = mForwardedJobs.get(job);
        if (forwardedJob == null) {
            return false;
        }
        forwardedJob.homes().put(home, answer);
        mHomeNotifier.accept(job, List.of(home));
        return true;
    }

    @Override
    public void withdraw(JobId job, InstanceName home) {
        ForwardedJob forwardedJob = mForwardedJobs.get(job);
        if (forwardedJob == null) {
            return;
        }
        forwardedJob.homes().remove(home);
        if (!forwardedJob.homes().isEmpty()) {
            return;
        }
        mForwardedJobs.remove(job);
        WithdrawWork.Builder withdraw =
                WithdrawWork.newBuilder().setJob(job.value()).setHome(mSettings.name().value());
        mClient.call(
                forwardedJob.leader(),
                Envelope.newBuilder().setWithdrawWork(withdraw),
                Duration.ofMillis(ANSWER_SLACK_MILLIS));
    }

    /** Withdraws the jobs of home instances that are no longer alive. */
    void withdrawJobsOfLostHomes(Predicate<InstanceName> isAlive) {
        for (Map.Entry<JobId, ForwardedJob> each : List.copyOf(mForwardedJobs.entrySet())) {
            for (InstanceName home : List.copyOf(each.getValue().homes().keySet())) {
                if (!isAlive.test(home)) {
                    withdraw(each.getKey(), home);
                }
            }
        }
    }

    int openJobs() {
        return mForwardedJobs.size();
    }

    private void onAnswer(JobId job, ForwardedJob forwardedJob, Either<Failure, Envelope> answer) {
        if (mForwardedJobs.get(job) != forwardedJob) {
            return;
        }
        mForwardedJobs.remove(job);
        boolean hasAnswer = answer.isRight() && answer.get().hasWorkAnswer();
        WorkOutcome outcome =
                hasAnswer
                        ? WorkMessages.outcome(answer.get().getWorkAnswer())
                        : WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "remote leader lost");
        mLog.jobEnded(job, outcome, false);
        forwardedJob.homes().values().forEach(home -> home.accept(Either.right(outcome)));
    }
}
