package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.io.Closer;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against callers that end or block {@code wagtailproxy serve} by what they send. The
 * platform is not reachable, so that only the process itself is tested.
 */
class UncontrolledCallersIT {

    private static final String HOST = "127.91.0.1";
    private static final int PORT = 8080;
    private static final int PEER_PORT = 7080;
    private static final String HEAP_SIZE = "128m";
    private static final int MAX_MEMORY_MB = 320;
    private static final int MAX_DESCRIPTORS = 1000;
    private static final int CONNECTIONS = 400;
    private static final int LARGE_BODY_BYTES = 4_000_000;
    private static final int LARGE_BODIES = 60;

    /** Ends a test whose process hangs; far above the time of a request on a busy machine. */
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(90);

    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int REQUEST_TIMEOUT_MILLIS = 90_000;

    /** Connections of a crowd that may be closed before an ordinary request is answered. */
    private static final int MAX_CLOSED_CONNECTIONS = CONNECTIONS / 4;

    private final Closer mCloser = Closer.create();
    @TempDir private Path mFolder;
    private EntryProcess mProcess;

    @BeforeEach
    void start() throws Exception {
        mProcess =
                new EntryProcess("uncontrolled", mFolder, settings(), List.of("-Xmx" + HEAP_SIZE));
        mCloser.register(mProcess);
        mProcess.start();
        assertThat(isOrdinaryRequestAnswered(WARM_UP_NANOS), is(true));
    }

    @AfterEach
    void stop() throws IOException {
        mCloser.close();
    }

    private static String settings() {
        return String.join(
                "\n",
                "[instance]",
                "name = uncontrolled",
                "data-centre = here",
                "caller-address = " + HOST + ":" + PORT,
                "peer-address = " + HOST + ":" + PEER_PORT,
                "[platform]",
                "store-address = " + HOST + ":2379",
                "list-address = " + HOST + ":8001",
                "");
    }

    @Test
    void testHalfHeadersKeepNoCallerWaiting() throws Exception {
        assertServesBeside(CONNECTIONS, bytes("GET /health/live HTTP/1.1\r\nHost: a\r\na:"), 1);
    }

    @Test
    void testHalfBodiesKeepNoCallerWaiting() throws Exception {
        byte[] request = put(1000);
        assertServesBeside(CONNECTIONS, Arrays.copyOf(request, request.length - 990), 1);
    }

    @Test
    void testUnreadAnswersKeepNoCallerWaiting() throws Exception {
        assertServesBeside(CONNECTIONS, bytes("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"), 2000);
    }

    @Test
    void testManyHeaderLinesKeepNoCallerWaiting() throws Exception {
        String lines = "a0:\r\n".repeat(1450);
        assertServesBeside(
                40, bytes("GET /health/live HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n"), 500);
    }

    @Test
    void testManyLargeBodiesKeepNoCallerWaiting() throws Exception {
        assertServesBeside(LARGE_BODIES, put(LARGE_BODY_BYTES), 1);
    }

    @Test
    void testManyTokensKeepNoCallerWaiting() throws Exception {
        String tokens = "[],".repeat(LARGE_BODY_BYTES / 3 - 10);
        assertServesBeside(LARGE_BODIES, put("{\"a\":[" + tokens + "0]}"), 1);
    }

    @Test
    void testHalfMessagesOnPeerPortKeepNoCallerWaiting() throws Exception {
        byte[] message = ByteBuffer.allocate(LARGE_BODY_BYTES).putInt(30_000_000).array();
        assertServesBeside(new Crowd(PEER_PORT, LARGE_BODIES, message, 1));
    }

    @Test
    void testSmallMessagesOnPeerPortKeepNoCallerWaiting() throws Exception {
        assertServesBeside(new Crowd(PEER_PORT, LARGE_BODIES, new byte[65_536], 200));
    }

    @Test
    void testLargestBodyIsReadInCalm() throws Exception {
        // The body is not a resource, which only shows once it has been read.
        assertThat(statusOf(put(LARGE_BODY_BYTES)), is(400));
    }

    @Test
    void testManyHeaderLinesAreServedInCalm() throws Exception {
        String lines = "a0:\r\n".repeat(1450);
        byte[] request = bytes("GET /health/live HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n");
        assertThat(statusOf(request), is(200));
    }

    /**
     * Checks that an ordinary request is answered while a crowd keeps its connections, opening
     * those again that are closed, and that the process stays within its bounds.
     */
    private void assertServesBeside(int connections, byte[] request, int requests)
            throws Exception {
        assertServesBeside(new Crowd(PORT, connections, request, requests));
    }

    private void assertServesBeside(Crowd crowd) throws Exception {
        mCloser.register(crowd);
        crowd.awaitSent();
        int closedConnections = crowd.closedConnections();
        int status = statusOf(bytes("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"));
        closedConnections = crowd.closedConnections() - closedConnections;
        assertThat("alive", mProcess.isAlive(), is(true));
        assertThat("answered beside the crowd", status, is(200));
        assertThat(
                "connections closed until then",
                closedConnections,
                is(lessThanOrEqualTo(MAX_CLOSED_CONNECTIONS)));
        crowd.close();
        assertThat("answered", isOrdinaryRequestAnswered(MAX_WAIT_NANOS), is(true));
        assertThat("peak memory in MB", peakMemoryMb(), is(lessThanOrEqualTo(MAX_MEMORY_MB)));
        assertThat("descriptors", descriptors(), is(lessThanOrEqualTo(MAX_DESCRIPTORS)));
        assertThat("memory", mProcess.log().contains("OutOfMemoryError"), is(false));
    }

    private static boolean isOrdinaryRequestAnswered(long maxWaitNanos) throws Exception {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < maxWaitNanos) {
            try {
                return statusOf(bytes("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n")) == 200;
            } catch (IOException unanswered) {
                TimeUnit.MILLISECONDS.sleep(100);
            }
        }
        return false;
    }

    private static int statusOf(byte[] request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(REQUEST_TIMEOUT_MILLIS);
            socket.connect(new InetSocketAddress(HOST, PORT), REQUEST_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request);
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = reader.readLine();
            if (line == null || line.length() < 12) {
                throw new IOException("no answer");
            }
            return Integer.parseInt(line.substring(9, 12));
        }
    }

    private static byte[] put(int bodyBytes) {
        return put("x".repeat(bodyBytes));
    }

    private static byte[] put(String body) {
        return bytes(
                "PUT /v1/resources/service/a HTTP/1.1\r\nHost: a\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private int peakMemoryMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + mProcess.pid() + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        throw new IOException("no peak memory in the status of the process");
    }

    private int descriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + mProcess.pid() + "/fd"))) {
            return (int) open.count();
        }
    }

    /** Clients that send, read nothing, and connect again if their connection is closed. */
    private static final class Crowd implements Closeable {

        private final byte[] mRequest;
        private final int mRequests;
        private final List<Client> mClients = new ArrayList<>();
        private final Thread mSender;
        private volatile boolean mHasSent;
        private volatile int mClosedConnections;

        private Crowd(int port, int connections, byte[] request, int requests) {
            mRequest = request;
            mRequests = requests;
            for (int number = 0; number < connections; number++) {
                mClients.add(new Client(port));
            }
            mSender = new Thread(this::keepSending);
            mSender.start();
        }

        /** Waits until each client has sent what the network takes. */
        private void awaitSent() {
            Await.until("the crowd has sent", 120, () -> mHasSent);
        }

        private int closedConnections() {
            return mClosedConnections;
        }

        private void keepSending() {
            while (!Thread.currentThread().isInterrupted()) {
                boolean hasSent = true;
                int closedConnections = 0;
                for (Client client : mClients) {
                    client.send(mRequest, mRequests);
                    hasSent &= client.mHasSent;
                    closedConnections += client.mClosings;
                }
                mHasSent = hasSent;
                mClosedConnections = closedConnections;
                Thread.yield();
            }
        }

        @Override
        public void close() throws IOException {
            mSender.interrupt();
            try {
                mSender.join();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            for (Client client : mClients) {
                client.close();
            }
        }
    }

    private static final class Client {

        private final int mPort;
        private SocketChannel mChannel;
        private ByteBuffer mRemaining;
        private int mRemainingRequests;
        private int mClosings;
        private boolean mHasSent;

        private Client(int port) {
            mPort = port;
        }

        private void send(byte[] request, int requests) {
            try {
                if (mChannel == null) {
                    connect(request, requests);
                }
                if (!mRemaining.hasRemaining() && mRemainingRequests > 0) {
                    mRemaining.rewind();
                    mRemainingRequests--;
                }
                // An empty write does not show that the server has closed the connection.
                checkOpen();
                mHasSent |= mChannel.write(mRemaining) == 0;
            } catch (IOException closed) {
                mHasSent = true;
                mClosings++;
                close();
            }
        }

        private void connect(byte[] request, int requests) throws IOException {
            mChannel = SocketChannel.open();
            mChannel.setOption(StandardSocketOptions.SO_RCVBUF, 4096);
            mChannel.socket().connect(new InetSocketAddress(HOST, mPort), REQUEST_TIMEOUT_MILLIS);
            mChannel.configureBlocking(false);
            mRemaining = ByteBuffer.wrap(request);
            mRemainingRequests = requests - 1;
        }

        private void checkOpen() throws IOException {
            boolean hasSentAll = !mRemaining.hasRemaining() && mRemainingRequests == 0;
            if (hasSentAll && mChannel.read(ByteBuffer.allocate(1)) < 0) {
                throw new IOException("the server has closed the connection");
            }
        }

        private void close() {
            try {
                if (mChannel != null) {
                    mChannel.close();
                }
            } catch (IOException failure) {
                // It is closed already.
            }
            mChannel = null;
        }
    }
}
