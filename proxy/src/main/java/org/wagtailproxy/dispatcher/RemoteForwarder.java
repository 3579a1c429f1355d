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
 * The jobs that this leader has passed on to leaders of other data centres. Confined to the event
 * loop.
 *
 * <p>A job whose remote leader is lost is given up: its tasks may still run there, where nobody
 * here can look. Their leader stops them once it no longer hears this one.
 */
final class RemoteForwarder implements Forwarder {

    /** Time for the remote answer to arrive after the caller's time has run out. */
    private static final long ANSWER_SLACK_MILLIS = 200;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final PeerClient mClient;
    private final RemoteLeaders mLeaders;
    private final SpillOver mSpillOver;
    private final DecisionLog mLog;
    private final BiConsumer<JobId, Collection<InstanceName>> mTellHomes;
    private final Map<JobId, Forward> mForwards = new HashMap<>();

    /** A job that another data centre runs. */
    private record Forward(
            HostAddress leader,
            Map<InstanceName, Consumer<Either<WorkProgress, WorkOutcome>>> homes) {}

    RemoteForwarder(
            DispatcherSettings settings,
            EventLoop loop,
            PeerClient client,
            RemoteLeaders leaders,
            SpillOver spillOver,
            DecisionLog log,
            BiConsumer<JobId, Collection<InstanceName>> tellHomes) {
        mSettings = settings;
        mLoop = loop;
        mClient = client;
        mLeaders = leaders;
        mSpillOver = spillOver;
        mLog = log;
        mTellHomes = tellHomes;
    }

    @Override
    public boolean forward(WorkSpec spec, PendingJob pendingJob) {
        long nowNanos = mLoop.nowNanos();
        Option<DataCentre> target = mSpillOver.chooseDataCentre(spec, nowNanos);
        Option<HostAddress> leader = target.flatMap(mLeaders::address);
        if (leader.isEmpty()) {
            return false;
        }
        mLog.jobForwarded(spec.id(), target.get());
        Forward forward = new Forward(leader.get(), new HashMap<>(pendingJob.homes()));
        mForwards.put(spec.id(), forward);
        mTellHomes.accept(spec.id(), pendingJob.homes().keySet());
        long patience = Math.max(0, (pendingJob.deadlineNanos() - nowNanos) / MILLI);
        SubmitWork.Builder work =
                WorkMessages.submit(spec, WorkProgress.NONE)
                        .setAgeMillis((nowNanos - pendingJob.arrivedNanos()) / MILLI)
                        .setPatienceMillis(patience)
                        .setHome(mSettings.name().value())
                        .setForwarded(true);
        Duration timeout = Duration.ofMillis(patience + ANSWER_SLACK_MILLIS);
        mClient.call(leader.get(), Envelope.newBuilder().setSubmitWork(work), timeout)
                .thenAccept(answer -> mLoop.run(() -> answered(spec.id(), forward, answer)));
        return true;
    }

    @Override
    public boolean join(
            JobId job, InstanceName home, Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        Forward forward = mForwards.get(job);
        if (forward == null) {
            return false;
        }
        forward.homes().put(home, answer);
        mTellHomes.accept(job, List.of(home));
        return true;
    }

    @Override
    public void withdraw(JobId job, InstanceName home) {
        Forward forward = mForwards.get(job);
        if (forward == null) {
            return;
        }
        forward.homes().remove(home);
        if (!forward.homes().isEmpty()) {
            return;
        }
        mForwards.remove(job);
        WithdrawWork.Builder withdraw =
                WithdrawWork.newBuilder().setJob(job.value()).setHome(mSettings.name().value());
        mClient.call(
                forward.leader(),
                Envelope.newBuilder().setWithdrawWork(withdraw),
                Duration.ofMillis(ANSWER_SLACK_MILLIS));
    }

    /** Gives up jobs that no instance waits for any more. */
    void withdrawLost(Predicate<InstanceName> alive) {
        for (Map.Entry<JobId, Forward> each : List.copyOf(mForwards.entrySet())) {
            for (InstanceName home : List.copyOf(each.getValue().homes().keySet())) {
                if (!alive.test(home)) {
                    withdraw(each.getKey(), home);
                }
            }
        }
    }

    int open() {
        return mForwards.size();
    }

    private void answered(JobId job, Forward forward, Either<Failure, Envelope> answer) {
        if (mForwards.get(job) != forward) {
            return;
        }
        mForwards.remove(job);
        boolean told = answer.isRight() && answer.get().hasWorkAnswer();
        WorkOutcome outcome =
                told
                        ? WorkMessages.outcome(answer.get().getWorkAnswer())
                        : WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "remote leader lost");
        mLog.jobEnded(job, outcome, false);
        forward.homes().values().forEach(home -> home.accept(Either.right(outcome)));
    }
}
