package org.wagtailproxy.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Either;
import java.io.Closeable;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.wire.Envelope;

/**
 * Calls other instances, over one connection to each of them.
 *
 * <p>An unresponsive connection is not closed automatically: the code that made the call calls
 * {@link #closeConnection}, and the next call opens a new connection.
 */
public final class PeerClient implements Closeable {

    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;

    private final Bootstrap mBootstrap;
    private final Map<HostAddress, PeerConnection> mConnections = new ConcurrentHashMap<>();

    private PeerClient(Bootstrap bootstrap) {
        mBootstrap = bootstrap;
    }

    /**
     * Creates a client without connections.
     *
     * @param source the local host address of connections, not null
     * @param group the event loops for input and output, not null
     * @param metrics the counter of sent and received bytes, not null
     * @return the client, never null
     */
    public static PeerClient of(String source, EventLoopGroup group, ByteCounter metrics) {
        Objects.requireNonNull(metrics, "metrics");
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .localAddress(source, 0)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        FrameCodec.install(
                                                channel.pipeline(),
                                                FrameCodec.MAX_FRAME_BYTES,
                                                metrics);
                                    }
                                });
        return new PeerClient(bootstrap);
    }

    /**
     * Calls an instance.
     *
     * @param address the address of the instance, not null
     * @param request the request without a correlation number, which is set here, not null
     * @param timeout the maximum duration of the call, positive
     * @return a future that completes with the answer, or with the failure that the peer refused
     *     the connection or did not answer; never completes exceptionally
     */
    public CompletableFuture<Either<Failure, Envelope>> call(
            HostAddress address, Envelope.Builder request, Duration timeout) {
        PeerConnection connection = connection(address);
        CompletableFuture<Either<Failure, Envelope>> answer = connection.call(request);
        Either<Failure, Envelope> late =
                failed(FailureKind.PEER_UNREACHABLE, "no answer from " + address);
        // Uses the event loop as the timer: a separate timer thread would wake up for every call.
        EventLoop loop = mBootstrap.config().group().next();
        Future<?> timer =
                loop.schedule(
                        () -> completeAfterInput(loop, answer, late),
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        answer.whenComplete((value, thrown) -> timer.cancel(false));
        return answer;
    }

    /**
     * Completes a call after its timeout, once the loop has read its input: after it was busy, the
     * answer may be there already.
     */
    private static void completeAfterInput(
            EventLoop loop,
            CompletableFuture<Either<Failure, Envelope>> answer,
            Either<Failure, Envelope> late) {
        loop.schedule(() -> answer.complete(late), 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection to an instance, which may be unresponsive; its pending calls fail.
     *
     * @param address the address of the instance, not null
     */
    public void closeConnection(HostAddress address) {
        PeerConnection connection = mConnections.remove(address);
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    public void close() {
        mConnections.keySet().forEach(this::closeConnection);
    }

    private PeerConnection connection(HostAddress address) {
        return mConnections.compute(
                address,
                (key, current) ->
                        current != null && current.isUsable() ? current : connect(address));
    }

    private PeerConnection connect(HostAddress address) {
        PeerConnection connection = new PeerConnection();
        ChannelFuture connecting = mBootstrap.connect(address.host(), address.port());
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        Channel channel = connecting.channel();
                        connection.onOpened(channel);
                    } else {
                        boolean refused =
                                done.cause() instanceof ConnectException
                                        && !(done.cause()
                                                instanceof
                                                io.netty.channel.ConnectTimeoutException);
                        FailureKind kind =
                                refused ? FailureKind.PEER_REFUSED : FailureKind.PEER_UNREACHABLE;
                        connection.onFailed(Failure.of(kind, "no connection to " + address));
                    }
                });
        return connection;
    }

    private static Either<Failure, Envelope> failed(FailureKind kind, String detail) {
        return Either.left(Failure.of(kind, detail));
    }
}
