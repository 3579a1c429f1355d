package org.wagtailproxy.http;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.limits.ClientLimits;
import org.wagtailproxy.observe.EventLog;

/**
 * Tests how calls are received and answered. Guards against a reset that destroys the answer to a
 * request with a too large body: the caller is still sending when the server refuses the body.
 */
class HttpListenerTest {

    private static final int BODY_LIMIT_BYTES = 1000;
    private static final ClientLimits LIMITS = ClientLimits.of(100, 1_000_000, BODY_LIMIT_BYTES);
    private static final int CHUNKS = 40;
    private static final int CHUNK_BYTES = 10_000;

    private final ExecutorService mExecutor = Executors.newSingleThreadExecutor();
    private HttpListener mListener;
    private HostAddress mAddress;

    private void start(HttpRoute route) throws IOException {
        EventLog log = EventLog.of("n1", "here", "1", (level, message, cause) -> {});
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            mAddress = HostAddress.of("127.0.0.1", free.getLocalPort());
        }
        Map<String, HttpRoute> routes = Map.of("v1", route);
        mListener = HttpListener.start(mAddress, routes, LIMITS, mExecutor, log);
    }

    @AfterEach
    void stop() {
        mListener.close();
        mExecutor.shutdownNow();
    }

    private String answerTo(String request) throws IOException {
        try (Socket socket = new Socket(mAddress.host(), mAddress.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String get(String target, String headerLines) {
        return "GET "
                + target
                + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                + headerLines
                + "\r\n";
    }

    private static void answerWithParameters(HttpCall call) {
        String number = call.number("n", 7, 100).fold(Failure::detail, value -> "n=" + value);
        String text = number + " " + call.parameter("p") + " " + call.header("Wagtail-Team");
        call.setAnswerHeader("Wagtail-Test", "yes");
        call.answer(200, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void testParametersAndHeaderAreRead() throws Exception {
        start(HttpListenerTest::answerWithParameters);
        String answer = answerTo(get("/v1?p=a%20b&n=5", "wagtail-team: quay\r\n"));
        assertThat(answer, startsWith("HTTP/1.1 200"));
        assertThat(answer, endsWith("n=5 Some(a b) Some(quay)"));
        assertThat(answer.toLowerCase(Locale.ROOT), containsString("\r\nwagtail-test: yes\r\n"));
        assertThat(answer.toLowerCase(Locale.ROOT), containsString("\r\ndate: "));
    }

    @Test
    void testMissingParametersAndHeaderHaveTheirDefaults() throws Exception {
        start(HttpListenerTest::answerWithParameters);
        assertThat(answerTo(get("/v1", "")), endsWith("n=7 None None"));
    }

    @Test
    void testMalformedTargetIsNoAddress() throws Exception {
        start(HttpListenerTest::answerWithParameters);
        assertThat(answerTo(get("/v1?p=%%%|", "")), startsWith("HTTP/1.1 404"));
    }

    @Test
    void testRefusalsOfTheServerAreProblemDocuments() throws Exception {
        start(HttpListenerTest::answerWithParameters);
        assertThat(answerTo("no request\r\n\r\n"), containsString(":malformed-request"));
        String lines = "a: 12345\r\n".repeat(5000);
        assertThat(answerTo(get("/v1", lines)), containsString(":headers-too-large"));
    }

    @Test
    void testCallIsOpenUntilItsAnswerIsSentOrItsCallerHasLeft() throws Exception {
        List<HttpCall> calls = new CopyOnWriteArrayList<>();
        start(calls::add);
        try (Socket first = new Socket(mAddress.host(), mAddress.port());
                Socket second = new Socket(mAddress.host(), mAddress.port())) {
            for (Socket socket : List.of(first, second)) {
                socket.getOutputStream().write(get("/v1", "").getBytes(StandardCharsets.US_ASCII));
            }
            await().atMost(Duration.ofSeconds(10)).until(() -> calls.size() == 2);
            assertThat(mListener.openCalls(), is(2));
            first.close();
            await().atMost(Duration.ofSeconds(10)).until(() -> mListener.openCalls() == 1);
            calls.forEach(call -> call.answer(200, "text/plain", new byte[1]));
            await().atMost(Duration.ofSeconds(10)).until(() -> mListener.openCalls() == 0);
        }
    }

    @Test
    void testCallerWithTooLargeBodyReceivesTheFailure() throws Exception {
        start(call -> call.answer(200, "text/plain", call.body()));
        try (Socket socket = new Socket(mAddress.host(), mAddress.port())) {
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
        }
    }
}
