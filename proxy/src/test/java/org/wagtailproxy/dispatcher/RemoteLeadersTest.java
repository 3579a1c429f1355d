package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.peer.PeerRequestHandler;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.scheduling.SpillOver;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;

class RemoteLeadersTest {

    private static final DataCentre REMOTE = DataCentre.of("pwani-b");
    private static final HostAddress ADDRESS = HostAddress.of("127.0.0.1", 7000);

    private final VirtualTime mTime = new VirtualTime(1);
    private final SimulatedProcess mProcess =
            new SimulatedProcess(mTime, new SimulatedNetwork.Host("n1", "pwani-a"));
    private final HeldTransport mTransport = new HeldTransport();
    private final RemoteLeaders mLeaders =
            new RemoteLeaders(
                    mProcess,
                    mTransport,
                    new SpillOver(),
                    new EvacuationTracker(
                            EventLog.of("n1", "pwani-a", "1", (level, message, cause) -> {})));

    /** Holds the answer to the last call until the test gives it. */
    private static final class HeldTransport implements PeerTransport {
        private CompletableFuture<Either<Failure, Envelope>> mAnswer;

        @Override
        public CompletableFuture<Either<Failure, Envelope>> call(
                HostAddress address, Envelope.Builder request, Duration timeout) {
            mAnswer = new CompletableFuture<>();
            return mAnswer;
        }

        @Override
        public void closeConnection(HostAddress address) {}

        @Override
        public void listen(HostAddress address, PeerRequestHandler handler) {}

        @Override
        public void close() {}
    }

    RemoteLeadersTest() {
        mLeaders.updateInstances(
                List.of(new InstanceRecord(InstanceName.of("n2"), REMOTE, ADDRESS, 1000, 2)));
    }

    private void probe() {
        mLeaders.tick(Presence.newBuilder().setName("n1"));
    }

    /** Lets the remote instance answer the last probe that it leads. */
    private void answer() {
        Presence presence =
                Presence.newBuilder().setName("n2").setFollows("n2").setClockNanos(1).build();
        mTransport.mAnswer.complete(
                Either.right(Envelope.newBuilder().setPresence(presence).build()));
        mTime.run(mTime.nowMillis() + 1);
    }

    @Test
    void testAnswerToProbeOfBeforeDoubtConfirmsNoLeader() {
        probe();
        mLeaders.doubtLeaders();
        answer();
        assertThat(mLeaders.confirmedLeaderAddress(REMOTE), is(Option.none()));
        probe();
        answer();
        assertThat(mLeaders.confirmedLeaderAddress(REMOTE), is(Option.some(ADDRESS)));
    }

    @Test
    void testAnswerToProbeOfBeforeHandOverConfirmsNoLeader() {
        probe();
        mLeaders.onHandedOver(REMOTE);
        answer();
        assertThat(mLeaders.confirmedLeaderAddress(REMOTE), is(Option.none()));
    }
}
