package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.WithdrawWork;
import org.wagtailproxy.workload.JobId;

/**
 * Withdraws jobs from the leaders that they were submitted to. A withdrawal without an answer is
 * repeated until the job has ended there, since the caller may submit the job again elsewhere.
 * Confined to the event loop.
 */
final class JobWithdrawals {

    private static final Duration TIMEOUT = Duration.ofMillis(200);

    /** Pause before a withdrawal is repeated. */
    private static final long RETRY_DELAY_MILLIS = 50;

    /** The same if the leader most probably no longer has the job. */
    private static final long RARE_RETRY_DELAY_MILLIS = 200;

    /**
     * Time after the deadline of a job for which a withdrawal is repeated. A leader that was
     * suspended has its jobs for so much longer; after a longer suspension it finds that its peers
     * follow another one.
     */
    private static final long REPEATED_AFTER_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final PeerTransport mClient;
    private final Map<Target, Withdrawal> mOpen = new HashMap<>();

    /** A job at the leader that it is withdrawn from. */
    private record Target(HostAddress leader, JobId job) {}

    /** An unanswered withdrawal of a job that its leader ends at the deadline by itself. */
    private static final class Withdrawal {
        private final long mDeadlineNanos;

        private Withdrawal(long deadlineNanos) {
            mDeadlineNanos = deadlineNanos;
        }
    }

    JobWithdrawals(DispatcherSettings settings, EventLoop loop, PeerTransport client) {
        mSettings = settings;
        mLoop = loop;
        mClient = client;
    }

    /** Withdraws a job whose caller waits until the deadline. */
    void withdraw(HostAddress leader, JobId job, long deadlineNanos) {
        Withdrawal withdrawal = new Withdrawal(deadlineNanos);
        Target target = new Target(leader, job);
        mOpen.put(target, withdrawal);
        send(target, withdrawal);
    }

    /** Ends the repetition because the job is submitted to the leader again. */
    void onSubmitted(HostAddress leader, JobId job) {
        mOpen.remove(new Target(leader, job));
    }

    private void send(Target target, Withdrawal withdrawal) {
        WithdrawWork.Builder message =
                WithdrawWork.newBuilder()
                        .setJob(target.job().value())
                        .setHome(mSettings.name().value())
                        .setHomeIncarnation(MessageConverter.incarnation(mSettings.incarnation()));
        mClient.call(target.leader(), Envelope.newBuilder().setWithdrawWork(message), TIMEOUT)
                .thenAccept(answer -> mLoop.execute(() -> onAnswer(target, withdrawal, answer)));
    }

    private void onAnswer(Target target, Withdrawal withdrawal, Either<Failure, Envelope> answer) {
        if (mOpen.get(target) != withdrawal) {
            return;
        }
        long lateNanos = mLoop.nowNanos() - withdrawal.mDeadlineNanos;
        if (answer.isRight() || lateNanos >= REPEATED_AFTER_DEADLINE_NANOS) {
            mOpen.remove(target);
            return;
        }
        // A network partition may refuse connections on behalf of a leader that is alive.
        boolean refused = answer.getLeft().kind() == FailureKind.PEER_REFUSED;
        mLoop.schedule(
                refused || lateNanos >= 0 ? RARE_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS,
                () -> {
                    if (mOpen.get(target) == withdrawal) {
                        send(target, withdrawal);
                    }
                });
    }
}
