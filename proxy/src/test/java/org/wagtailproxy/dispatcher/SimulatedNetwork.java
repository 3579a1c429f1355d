package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.peer.PeerRequestHandler;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.wire.Envelope;

/**
 * Connections between instances over links that can be cut, in one direction or both.
 *
 * <p>The bytes of one direction of a connection arrive in order. A cut holds them until it heals,
 * also if the sender has closed the connection or was killed meanwhile.
 */
final class SimulatedNetwork {

    final CommandDisruptions mCommandDisruptions;
    private static final long CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int MAX_RETRANSMISSION_MILLIS = 800;

    private final VirtualTime mTime;
    private final List<BiPredicate<Host, Host>> mCuts = new ArrayList<>();
    private final List<BiPredicate<Host, Host>> mRefusals = new ArrayList<>();
    private final List<Direction> mStalled = new ArrayList<>();
    private final List<Connection> mConnections = new ArrayList<>();
    private final Map<HostAddress, Listener> mListeners = new HashMap<>();
    private final Map<HostAddress, Host> mHosts = new HashMap<>();

    /** A machine. */
    record Host(String name, String dataCentre) {}

    private record Listener(SimulatedProcess process, PeerRequestHandler handler) {}

    private record Message(long arrivalNanos, Runnable delivery) {}

    SimulatedNetwork(VirtualTime time) {
        mTime = time;
        mCommandDisruptions = new CommandDisruptions(time);
    }

    void addHost(HostAddress address, Host host) {
        mHosts.put(address, host);
    }

    PeerTransport transport(SimulatedProcess process) {
        return new Transport(process);
    }

    boolean isCut(Host from, Host to) {
        return mCuts.stream().anyMatch(cut -> cut.test(from, to));
    }

    /** Cuts the links from one host to another for which a predicate holds. */
    void cut(BiPredicate<Host, Host> links, long millis) {
        mCuts.add(links);
        mTime.after(
                millis,
                () -> {
                    mCuts.remove(links);
                    mTime.note("a cut heals");
                    List<Direction> stalled = List.copyOf(mStalled);
                    mStalled.clear();
                    stalled.forEach(Direction::resume);
                });
    }

    /** Refuses new connections over the cut links for which a predicate holds. */
    void refuse(BiPredicate<Host, Host> links, long millis) {
        mRefusals.add(links);
        mTime.after(millis, () -> mRefusals.remove(links));
    }

    /** Checks whether a cut refuses new connections from one host to another. */
    boolean isRefused(Host from, Host to) {
        return mRefusals.stream().anyMatch(links -> links.test(from, to) || links.test(to, from));
    }

    /** Breaks the connections over the links for which a predicate holds. */
    void reset(BiPredicate<Host, Host> links) {
        for (Connection connection : List.copyOf(mConnections)) {
            Host client = connection.mClient.mHost;
            Host server = connection.mListener.process().mHost;
            if (links.test(client, server) || links.test(server, client)) {
                mConnections.remove(connection);
                connection.mForth.mMessages.clear();
                connection.mBack.mMessages.clear();
                connection.onLost();
            }
        }
    }

    /** Breaks all connections of a process that was killed. */
    void onKilled(SimulatedProcess process) {
        mListeners.values().removeIf(listener -> listener.process() == process);
        for (Connection connection : List.copyOf(mConnections)) {
            if (connection.mListener.process() == process) {
                connection.mBack.send(connection::onLost);
            }
            if (connection.mClient == process || connection.mListener.process() == process) {
                mConnections.remove(connection);
            }
        }
    }

    /** Breaks one connection; requests and answers on the way are lost. */
    void resetOneConnection() {
        if (mConnections.isEmpty()) {
            return;
        }
        Connection connection = mTime.oneOf(mConnections);
        mConnections.remove(connection);
        mTime.note("reset " + connection.mClient.mHost.name() + "-" + connection.mAddress);
        connection.mForth.mMessages.clear();
        connection.mBack.mMessages.clear();
        connection.onLost();
    }

    /**
     * Lets open connections of some processes go silent for good, in one direction or both.
     *
     * @param share the share of these connections
     */
    void silence(Predicate<SimulatedProcess> processes, double share) {
        for (Connection connection : mConnections) {
            boolean isMeant =
                    processes.test(connection.mClient)
                            || processes.test(connection.mListener.process());
            if (isMeant && mTime.chance(share)) {
                int direction = mTime.mRandom.nextInt(3);
                connection.mForth.mSilent |= direction != 0;
                connection.mBack.mSilent |= direction != 1;
            }
        }
    }

    long latencyNanos() {
        return TimeUnit.MICROSECONDS.toNanos(
                mTime.chance(0.02) ? mTime.between(2000, 60_000) : mTime.between(200, 2000));
    }

    /** The bytes of a connection in one direction. */
    private final class Direction {
        private final Host mFrom;
        private final Host mTo;
        private final Deque<Message> mMessages = new ArrayDeque<>();
        private boolean mDelivering;
        private boolean mSilent;

        private Direction(Host from, Host to) {
            mFrom = from;
            mTo = to;
        }

        private void send(Runnable delivery) {
            if (mSilent) {
                return;
            }
            mMessages.add(new Message(mTime.nowNanos() + latencyNanos(), delivery));
            if (!mDelivering) {
                mDelivering = true;
                scheduleNext();
            }
        }

        private void scheduleNext() {
            mTime.at(mMessages.element().arrivalNanos(), this::deliverNext);
        }

        private void deliverNext() {
            if (mSilent) {
                mMessages.clear();
                return;
            }
            if (isCut(mFrom, mTo)) {
                mStalled.add(this);
                return;
            }
            Message message = mMessages.poll();
            if (message != null) {
                message.delivery().run();
            }
            if (mMessages.isEmpty()) {
                mDelivering = false;
            } else {
                scheduleNext();
            }
        }

        private void resume() {
            mTime.after(mTime.between(0, MAX_RETRANSMISSION_MILLIS), this::deliverNext);
        }
    }

    /** A connection of one process to the process that listens on an address. */
    private final class Connection {
        private final SimulatedProcess mClient;
        private final HostAddress mAddress;
        private final Direction mForth;
        private final Direction mBack;
        private final Map<Long, CompletableFuture<Either<Failure, Envelope>>> mPending =
                new LinkedHashMap<>();
        private final List<Runnable> mUnsent = new ArrayList<>();
        private Listener mListener;
        private Failure mFailure;
        private long mNextCall;

        private Connection(SimulatedProcess client, HostAddress address) {
            mClient = client;
            mAddress = address;
            Host server = mHosts.get(address);
            mForth = new Direction(client.mHost, server);
            mBack = new Direction(server, client.mHost);
            if (isCut(client.mHost, server) || isCut(server, client.mHost)) {
                if (isRefused(client.mHost, server)) {
                    mTime.afterNanos(latencyNanos(), () -> failLater(FailureKind.PEER_REFUSED));
                } else {
                    mTime.after(
                            CONNECT_TIMEOUT_MILLIS, () -> failLater(FailureKind.PEER_UNREACHABLE));
                }
            } else {
                mTime.afterNanos(latencyNanos(), this::onConnected);
            }
        }

        private void onConnected() {
            mListener = mListeners.get(mAddress);
            if (mListener == null) {
                failLater(FailureKind.PEER_REFUSED);
                return;
            }
            mConnections.add(this);
            mUnsent.forEach(Runnable::run);
            mUnsent.clear();
        }

        private CompletableFuture<Either<Failure, Envelope>> call(Envelope request) {
            CompletableFuture<Either<Failure, Envelope>> answer = new CompletableFuture<>();
            long number = mNextCall++;
            mPending.put(number, answer);
            Runnable sending = () -> mForth.send(() -> deliver(request, number));
            if (mListener == null) {
                mUnsent.add(sending);
            } else {
                sending.run();
            }
            return answer;
        }

        private void deliver(Envelope request, long number) {
            SimulatedProcess server = mListener.process();
            if (!server.isAlive()) {
                mBack.send(this::onLost);
                return;
            }
            server.execute(
                    () ->
                            mListener
                                    .handler()
                                    .handle(
                                            request,
                                            answer -> {
                                                Envelope built = answer.build();
                                                mBack.send(() -> onAnswer(number, built));
                                            }));
        }

        private void onAnswer(long number, Envelope answer) {
            mClient.execute(
                    () -> {
                        CompletableFuture<Either<Failure, Envelope>> call = mPending.remove(number);
                        if (call != null) {
                            call.complete(Either.right(answer));
                        }
                    });
        }

        private void onLost() {
            failLater(FailureKind.PEER_UNREACHABLE);
        }

        private void failLater(FailureKind kind) {
            mClient.execute(() -> fail(kind));
        }

        private void fail(FailureKind kind) {
            if (mFailure != null) {
                return;
            }
            mFailure = Failure.of(kind, "connection to " + mAddress);
            mConnections.remove(this);
            mUnsent.clear();
            List<CompletableFuture<Either<Failure, Envelope>>> pending =
                    List.copyOf(mPending.values());
            mPending.clear();
            pending.forEach(call -> call.complete(Either.left(mFailure)));
        }
    }

    /** The connections of one process. */
    private final class Transport implements PeerTransport {
        private final SimulatedProcess mProcess;
        private final Map<HostAddress, Connection> mOpen = new HashMap<>();

        private Transport(SimulatedProcess process) {
            mProcess = process;
        }

        @Override
        public CompletableFuture<Either<Failure, Envelope>> call(
                HostAddress address, Envelope.Builder request, Duration timeout) {
            Connection connection = mOpen.get(address);
            if (connection == null || connection.mFailure != null) {
                connection = new Connection(mProcess, address);
                mOpen.put(address, connection);
            }
            CompletableFuture<Either<Failure, Envelope>> answer = connection.call(request.build());
            Failure late = Failure.of(FailureKind.PEER_UNREACHABLE, "no answer from " + address);
            // Input that has arrived is read before the timeout takes effect.
            mProcess.schedule(
                    timeout.toMillis(),
                    () -> mProcess.schedule(0, () -> answer.complete(Either.left(late))));
            return answer;
        }

        @Override
        public void closeConnection(HostAddress address) {
            Connection connection = mOpen.remove(address);
            if (connection != null) {
                connection.fail(FailureKind.PEER_UNREACHABLE);
            }
        }

        @Override
        public void listen(HostAddress address, PeerRequestHandler handler) {
            mListeners.put(address, new Listener(mProcess, handler));
        }

        @Override
        public void close() {
            List.copyOf(mOpen.keySet()).forEach(this::closeConnection);
            mListeners.values().removeIf(listener -> listener.process() == mProcess);
        }
    }
}
