package org.wagtailproxy.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.observe.EventLog;

/**
 * Guards against a reset that destroys the answer to a request with a too large body: the caller is
 * still sending when the server refuses the body.
 */
class HttpListenerTest {

    private static final int BODY_LIMIT_BYTES = 1000;
    private static final int CHUNKS = 40;
    private static final int CHUNK_BYTES = 10_000;

    @Test
    void testCallerWithTooLargeBodyReceivesTheFailure() throws Exception {
        ExecutorService executor = Executors.newSingleThreadExecutor();
        EventLog log = EventLog.of("n1", "here", "1", (level, message, cause) -> {});
        HostAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            address = HostAddress.of("127.0.0.1", free.getLocalPort());
        }
        Map<String, HttpRoute> routes = Map.of("v1", call -> call.body().peekLeft(call::refuse));
        try (HttpListener listener =
                        HttpListener.start(address, routes, BODY_LIMIT_BYTES, executor, log);
                Socket socket = new Socket(address.host(), address.port())) {
            OutputStream out = socket.getOutputStream();
            String head =
                    "PUT /v1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                            + "Content-Length: "
                            + CHUNKS * CHUNK_BYTES
                            + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int chunk = 0; chunk < CHUNKS; chunk++) {
                out.write(new byte[CHUNK_BYTES]);
                out.flush();
                TimeUnit.MILLISECONDS.sleep(5);
            }
            byte[] answer = socket.getInputStream().readAllBytes();
            assertThat(
                    new String(answer, StandardCharsets.UTF_8), containsString("body-too-large"));
        } finally {
            executor.shutdownNow();
        }
    }
}
