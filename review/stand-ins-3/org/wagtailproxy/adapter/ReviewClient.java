package org.wagtailproxy.adapter;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.wagtailproxy.identity.HostAddress;

/** Sends one request on a connection of its own and waits for the whole answer. */
final class ReviewClient {

    static final String HOST = "nony24.example";

    private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime());

    /** What came back: a status, or 0 and how the connection ended. */
    record Answer(int status, String body, String failure) {

        boolean isOk() {
            return status >= 200 && status < 300;
        }

        @Override
        public String toString() {
            return status > 0 ? status + " " + body : failure;
        }
    }

    private ReviewClient() {}

    static String newId() {
        return String.format("%016x", NEXT_ID.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Sends a request; waits as long as the client's patience. */
    static Answer send(
            HostAddress address, String method, String path, String body, int patienceMillis) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address.host(), address.port()), patienceMillis);
            socket.setSoTimeout(patienceMillis);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + HOST
                            + "\r\nX-Wagtailproxy-Timeout-Ms: "
                            + patienceMillis
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + content.length
                            + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(content);
            socket.getOutputStream().write(request.toByteArray());
            return read(socket.getInputStream());
        } catch (java.net.ConnectException refused) {
            return new Answer(0, "", "no connection");
        } catch (java.net.SocketTimeoutException late) {
            return new Answer(0, "", "no answer in time");
        } catch (IOException broken) {
            return new Answer(0, "", "broken off: " + broken.getMessage());
        }
    }

    private static Answer read(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return new Answer(0, "", "broken off: end of the connection without an answer");
            }
            head.append((char) next);
        }
        int length = 0;
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        byte[] content = input.readNBytes(length);
        if (content.length < length) {
            return new Answer(0, "", "broken off: incomplete answer");
        }
        int status = Integer.parseInt(head.substring(9, 12));
        return new Answer(status, new String(content, StandardCharsets.UTF_8), "");
    }
}
