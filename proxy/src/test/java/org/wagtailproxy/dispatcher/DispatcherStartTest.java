package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.StartAnswer;
import org.wagtailproxy.fleet.StopResult;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.leadership.Pool;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.MetricsRecorder;
import org.wagtailproxy.peer.PeerRequestHandler;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.scheduling.LeaseTiming;
import org.wagtailproxy.scheduling.SchedulerTuning;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.store.StoreFailure;
import org.wagtailproxy.store.StorePage;
import org.wagtailproxy.store.StoreTransaction;
import org.wagtailproxy.store.VersionedStore;
import org.wagtailproxy.wire.Envelope;

class DispatcherStartTest {

    private static final DataCentre DATA_CENTRE = DataCentre.of("pwani-a");
    private static final int INSTANCES = 30;

    private final Set<HostAddress> mCalled = new HashSet<>();

    @Test
    void testGuardThatIsReadAtOnceLetsInstanceOfLargeFleetFindItsPeers() {
        assertThat(Pool.isDivisible(INSTANCES), is(true));
        DispatcherSettings settings =
                new DispatcherSettings(
                        InstanceName.of("n0"),
                        Incarnation.of(0, 1),
                        DATA_CENTRE,
                        address(0),
                        1000,
                        LeaseTiming.of(1000),
                        SchedulerTuning.defaults());
        DispatcherContext context =
                new DispatcherContext(
                        new ImmediateLoop(),
                        new RecordingTransport(),
                        new SilentServers(),
                        new ImmediateStore());
        EventLog log = EventLog.of("n0", "pwani-a", "1", (level, message, cause) -> {});
        Dispatcher dispatcher =
                Dispatcher.start(settings, context, log, new MetricsRecorder(), new NoListener());
        List<InstanceRecord> instances = new ArrayList<>();
        for (int number = 0; number < INSTANCES; number++) {
            instances.add(
                    new InstanceRecord(
                            InstanceName.of("n" + number),
                            DATA_CENTRE,
                            address(number),
                            1000,
                            number));
        }
        dispatcher.updateInstances(instances);
        assertThat(mCalled.size(), is(INSTANCES - 1));
    }

    private static HostAddress address(int number) {
        return HostAddress.of("127.0.0.1", 1000 + number);
    }

    /** Runs work at once, as an event loop does that is faster than the caller. */
    private static final class ImmediateLoop implements EventLoop {

        @Override
        public void schedule(long millis, Runnable work) {}

        @Override
        public void execute(Runnable work) {
            work.run();
        }

        @Override
        public long nowNanos() {
            return 0;
        }

        @Override
        public long wallClockMillis() {
            return 0;
        }
    }

    private final class RecordingTransport implements PeerTransport {

        @Override
        public CompletableFuture<Either<Failure, Envelope>> call(
                HostAddress address, Envelope.Builder request, Duration timeout) {
            mCalled.add(address);
            return new CompletableFuture<>();
        }

        @Override
        public void closeConnection(HostAddress address) {}

        @Override
        public void listen(HostAddress address, PeerRequestHandler handler) {}

        @Override
        public void close() {}
    }

    /** Answers reads at once with an empty page, and nothing else. */
    private static final class ImmediateStore implements VersionedStore {

        @Override
        public void read(
                String prefix, String after, Consumer<Either<StoreFailure, StorePage>> callback) {
            callback.accept(Either.right(new StorePage(List.of(), List.of(), 1, false)));
        }

        @Override
        public void watch(
                String prefix,
                long afterRevision,
                long waitMillis,
                Consumer<Either<StoreFailure, StorePage>> callback) {}

        @Override
        public void write(
                String key,
                byte[] value,
                long lease,
                Consumer<Either<StoreFailure, Long>> callback) {}

        @Override
        public void commit(
                StoreTransaction transaction, Consumer<Either<StoreFailure, Long>> callback) {}

        @Override
        public void remove(String key, Consumer<Either<StoreFailure, Long>> callback) {}

        @Override
        public void grantLease(long ttlMillis, Consumer<Either<StoreFailure, Long>> callback) {}

        @Override
        public void renewLease(long lease, Consumer<Either<StoreFailure, Long>> callback) {}
    }

    /** Answers no command. */
    private static final class SilentServers implements CommandTransport {

        @Override
        public void start(
                ServerCommand.Start command, long timeoutMillis, Consumer<StartAnswer> answer) {}

        @Override
        public void stop(
                ServerCommand.Stop command, long timeoutMillis, Consumer<StopResult> answer) {}

        @Override
        public void poll(
                ServerCommand.Poll command, long timeoutMillis, Consumer<PollResult> answer) {}
    }

    private static final class NoListener implements Dispatcher.Listener {

        @Override
        public void onNewerConfiguration(byte[] document) {}

        @Override
        public void onBecameLeader() {}
    }
}
