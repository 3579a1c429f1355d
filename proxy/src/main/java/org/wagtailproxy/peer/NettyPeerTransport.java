package org.wagtailproxy.peer;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.wire.Envelope;

/** Calls other instances with a {@link PeerClient} and listens with a {@link PeerServer}. */
public final class NettyPeerTransport implements PeerTransport {

    private final Closer mCloser = Closer.create();
    private final EventLoopGroup mGroup;
    private final ByteCounter mMetrics;
    private final Option<PeerLimits> mLimits;
    private final PeerClient mClient;

    private NettyPeerTransport(
            String source, EventLoopGroup group, ByteCounter metrics, Option<PeerLimits> limits) {
        mGroup = group;
        mMetrics = metrics;
        mLimits = limits;
        mClient = mCloser.register(PeerClient.of(source, group, metrics));
    }

    /**
     * Creates a transport without connections.
     *
     * @param source the local host address of connections, not null
     * @param group the event loops for input and output, not null
     * @param metrics the counter of sent and received bytes, not null
     * @return the transport, never null
     */
    public static NettyPeerTransport of(String source, EventLoopGroup group, ByteCounter metrics) {
        Objects.requireNonNull(group, "group");
        return new NettyPeerTransport(source, group, metrics, Option.none());
    }

    /**
     * Creates a transport without connections that limits those that it accepts.
     *
     * @param source the local host address of connections, not null
     * @param group the event loop for input and output, a single one; not null
     * @param metrics the counter of sent and received bytes, not null
     * @param limits the limits, not null
     * @return the transport, never null
     */
    public static NettyPeerTransport of(
            String source, EventLoopGroup group, ByteCounter metrics, PeerLimits limits) {
        Objects.requireNonNull(group, "group");
        return new NettyPeerTransport(source, group, metrics, Option.some(limits));
    }

    @Override
    public CompletableFuture<Either<Failure, Envelope>> call(
            HostAddress address, Envelope.Builder request, Duration timeout) {
        return mClient.call(address, request, timeout);
    }

    @Override
    public void closeConnection(HostAddress address) {
        mClient.closeConnection(address);
    }

    @Override
    public void listen(HostAddress address, PeerRequestHandler handler) {
        mCloser.register(PeerServer.start(address, mGroup, handler, mMetrics, mLimits));
    }

    @Override
    public void close() throws IOException {
        mCloser.close();
    }
}
