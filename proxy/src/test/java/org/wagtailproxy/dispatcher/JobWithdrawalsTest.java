package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.peer.PeerRequestHandler;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.scheduling.LeaseTiming;
import org.wagtailproxy.scheduling.SchedulerTuning;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.workload.JobId;

class JobWithdrawalsTest {

    private static final HostAddress LEADER = HostAddress.of("127.0.0.1", 7000);
    private static final JobId JOB = new JobId("00000000000000a1");
    private static final long DEADLINE_MILLIS = 1500;

    private final VirtualTime mTime = new VirtualTime(1);
    private final SimulatedProcess mProcess =
            new SimulatedProcess(mTime, new SimulatedNetwork.Host("n1", "pwani-a"));
    private final AnsweringTransport mTransport = new AnsweringTransport();
    private final JobWithdrawals mWithdrawals =
            new JobWithdrawals(settings(), mProcess, mTransport);

    private static DispatcherSettings settings() {
        return new DispatcherSettings(
                InstanceName.of("n1"),
                Incarnation.of(1, 1),
                DataCentre.of("pwani-a"),
                HostAddress.of("127.0.0.1", 7001),
                1000,
                LeaseTiming.of(1000),
                SchedulerTuning.defaults());
    }

    /** Answers each call as the test says. */
    private static final class AnsweringTransport implements PeerTransport {
        private Either<Failure, Envelope> mAnswer;
        private int mCalls;

        @Override
        public CompletableFuture<Either<Failure, Envelope>> call(
                HostAddress address, Envelope.Builder request, Duration timeout) {
            mCalls++;
            return CompletableFuture.completedFuture(mAnswer);
        }

        @Override
        public void closeConnection(HostAddress address) {}

        @Override
        public void listen(HostAddress address, PeerRequestHandler handler) {}

        @Override
        public void close() {}
    }

    private void withdraw() {
        long deadlineNanos = mProcess.nowNanos() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
        mWithdrawals.withdraw(LEADER, JOB, deadlineNanos);
    }

    private void answerWith(FailureKind failure) {
        mTransport.mAnswer = Either.left(Failure.of(failure, "leader"));
    }

    private int callsUntil(long millis) {
        int before = mTransport.mCalls;
        mTime.run(millis);
        return mTransport.mCalls - before;
    }

    @Test
    void testWithdrawalThatIsRefusedReachesLeaderThatIsReachableAgain() {
        answerWith(FailureKind.PEER_REFUSED);
        withdraw();
        assertThat(callsUntil(500), is(greaterThan(1)));
        mTransport.mAnswer = Either.right(Envelope.getDefaultInstance());
        assertThat(callsUntil(1000), is(1));
        assertThat(callsUntil(5000), is(0));
    }

    @Test
    void testWithdrawalIsRepeatedAfterDeadlineForLeaderThatWasSuspended() {
        answerWith(FailureKind.PEER_UNREACHABLE);
        withdraw();
        callsUntil(DEADLINE_MILLIS + 100);
        assertThat(callsUntil(DEADLINE_MILLIS + 1500), is(greaterThan(1)));
        mTransport.mAnswer = Either.right(Envelope.getDefaultInstance());
        assertThat(callsUntil(DEADLINE_MILLIS + 2000), is(1));
    }

    @Test
    void testWithdrawalFromLeaderThatIsGoneEnds() {
        answerWith(FailureKind.PEER_REFUSED);
        withdraw();
        assertThat(callsUntil(10_000), is(lessThan(20)));
        assertThat(callsUntil(20_000), is(0));
    }

    @Test
    void testWithdrawalEndsAsJobIsSubmittedAgain() {
        answerWith(FailureKind.PEER_UNREACHABLE);
        withdraw();
        mWithdrawals.onSubmitted(LEADER, JOB);
        assertThat(callsUntil(5000), is(0));
    }
}
