package org.wagtailproxy.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Option;
import java.io.Closeable;
import java.util.Objects;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.wire.Envelope;

/** Accepts connections from other instances and passes their requests to a handler. */
public final class PeerServer implements Closeable {

    private final Channel mServerChannel;
    private final ChannelGroup mConnections;

    private PeerServer(Channel listening, ChannelGroup open) {
        mServerChannel = listening;
        mConnections = open;
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on, not null
     * @param group the event loops for input and output, not null
     * @param handler the handler of requests, not null
     * @param metrics the counter of sent and received bytes, not null
     * @return the server, never null
     */
    public static PeerServer start(
            HostAddress address,
            EventLoopGroup group,
            PeerRequestHandler handler,
            ByteCounter metrics) {
        return start(address, group, handler, metrics, Option.none());
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on, not null
     * @param group the event loops for input and output, a single one if there are limits; not null
     * @param handler the handler of requests, not null
     * @param metrics the counter of sent and received bytes, not null
     * @param limits the limits on connections, none to accept all; not null
     * @return the server, never null
     */
    public static PeerServer start(
            HostAddress address,
            EventLoopGroup group,
            PeerRequestHandler handler,
            ByteCounter metrics,
            Option<PeerLimits> limits) {
        Objects.requireNonNull(handler, "handler");
        Option<PeerConnectionLimiter> limiter = limits.map(PeerConnectionLimiter::new);
        int maxFrameBytes =
                limiter.map(PeerConnectionLimiter::maxFrameBytes)
                        .getOrElse(FrameCodec.MAX_FRAME_BYTES);
        Option<PeerTurns> turns = limits.map(each -> new PeerTurns(group));
        ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        open.add(channel);
                                        FrameCodec.install(
                                                channel.pipeline(), maxFrameBytes, metrics);
                                        limiter.forEach(each -> each.limit(channel));
                                        turns.forEach(each -> each.add(channel));
                                        channel.pipeline().addLast(new RequestHandler(handler));
                                    }
                                });
        Channel listening =
                bootstrap.bind(address.host(), address.port()).syncUninterruptibly().channel();
        return new PeerServer(listening, open);
    }

    @Override
    public void close() {
        mServerChannel.close().syncUninterruptibly();
        mConnections.close().awaitUninterruptibly();
    }

    /**
     * Passes requests to the handler, and writes each answer with the correlation number of its
     * request.
     */
    private static final class RequestHandler extends SimpleChannelInboundHandler<Envelope> {

        private final PeerRequestHandler mHandler;

        private RequestHandler(PeerRequestHandler handler) {
            mHandler = handler;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope request) {
            int correlation = request.getCorrelation();
            mHandler.handle(
                    request,
                    answer -> context.writeAndFlush(answer.setCorrelation(correlation).build()));
        }
    }
}
