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

class HttpListenerTest {

    private static final int LIMIT = 1000;
    private static final int PIECES = 40;
    private static final int PIECE_BYTES = 10_000;

    @Test
    void testCallerThatSendsTooMuchHearsWhy() throws Exception {
        ExecutorService executor = Executors.newSingleThreadExecutor();
        EventLog log = EventLog.of("n1", "here", "1", (level, message, cause) -> {});
        HostAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            address = HostAddress.of("127.0.0.1", free.getLocalPort());
        }
        Map<String, HttpRoute> routes = Map.of("v1", call -> call.body().peekLeft(call::refuse));
        try (HttpListener front = HttpListener.start(address, routes, LIMIT, executor, log);
                Socket socket = new Socket(address.host(), address.port())) {
            OutputStream out = socket.getOutputStream();
            String head =
                    "PUT /v1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                            + "Content-Length: "
                            + PIECES * PIECE_BYTES
                            + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int piece = 0; piece < PIECES; piece++) {
                out.write(new byte[PIECE_BYTES]);
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
