package org.wagtailproxy.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.limits.ClientLimits;
import org.wagtailproxy.limits.ExceededLimit;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.Presence;

/** Guards against connections to the peer port that fill the memory or take all descriptors. */
class PeerConnectionLimiterTest {

    private static final int MAX_CONNECTIONS = 3;
    private static final int MAX_MEMORY_BYTES = 400_000;
    private static final int MAX_FRAME_BYTES = 300_000;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<ExceededLimit> mExceeded = new CopyOnWriteArrayList<>();
    private final List<Socket> mSockets = new ArrayList<>();
    private HostAddress mAddress;
    private NettyPeerTransport mTransport;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            mAddress = HostAddress.of("127.0.0.1", free.getLocalPort());
        }
        ClientLimits limits =
                new ClientLimits(
                        MAX_CONNECTIONS, MAX_MEMORY_BYTES, 1, 1, MAX_FRAME_BYTES, 1000, 1000);
        mTransport =
                NettyPeerTransport.of(
                        "127.0.0.1",
                        mGroup,
                        new IgnoredBytes(),
                        PeerLimits.of(limits, (limit, bound) -> mExceeded.add(limit)));
        mTransport.listen(mAddress, (request, reply) -> reply.accept(request.toBuilder()));
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : mSockets) {
            socket.close();
        }
        mTransport.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Opens a connection and sends the length of a frame and a part of it. */
    private Socket sendPartOfFrame(int length, int part) throws IOException {
        Socket socket = new Socket(mAddress.host(), mAddress.port());
        socket.setSoTimeout(20_000);
        mSockets.add(socket);
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(length);
        output.write(new byte[part]);
        output.flush();
        return socket;
    }

    private boolean isClosed(Socket socket) {
        try {
            return socket.getInputStream().read() < 0;
        } catch (IOException reset) {
            return true;
        }
    }

    private void assertPeerIsAnswered() throws Exception {
        Either<Failure, Envelope> answer =
                mTransport
                        .call(
                                mAddress,
                                Envelope.newBuilder().setPresence(Presence.newBuilder()),
                                Duration.ofSeconds(20))
                        .get(30, TimeUnit.SECONDS);
        assertThat(answer.isRight(), is(true));
    }

    @Test
    void testTooLargeFrameIsClosed() throws Exception {
        assertThat(isClosed(sendPartOfFrame(MAX_FRAME_BYTES + 1, 10)), is(true));
        assertThat(mExceeded.contains(ExceededLimit.FRAME_SIZE), is(true));
        assertPeerIsAnswered();
    }

    @Test
    void testIncompleteFrameIsClosedAfterItsTime() throws Exception {
        assertThat(isClosed(sendPartOfFrame(1000, 10)), is(true));
        assertThat(mExceeded.contains(ExceededLimit.REQUEST_TIME), is(true));
        assertPeerIsAnswered();
    }

    @Test
    void testLargestIncompleteFrameGivesWayToAPeer() throws Exception {
        Socket first = sendPartOfFrame(MAX_FRAME_BYTES, 290_000);
        sendPartOfFrame(MAX_FRAME_BYTES, 200_000);
        assertThat(isClosed(first), is(true));
        assertPeerIsAnswered();
    }

    @Test
    void testPeerIsAnsweredAtTheMaximumOfConnections() throws Exception {
        for (int number = 0; number < 4 * MAX_CONNECTIONS; number++) {
            sendPartOfFrame(100, 0);
        }
        assertPeerIsAnswered();
        assertThat(mExceeded.contains(ExceededLimit.CONNECTIONS), is(true));
    }

    /** Ignores byte counts. */
    private static final class IgnoredBytes implements ByteCounter {

        @Override
        public void peerBytes(String direction, int bytes) {
            // This test does not look at byte counts.
        }

        @Override
        public void controlBytes(String direction, int bytes) {
            // This test does not look at byte counts.
        }
    }
}
