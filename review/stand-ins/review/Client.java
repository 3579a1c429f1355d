package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one HTTP request on a connection of its own. */
final class Client {

    private Client() {}

    /** A complete response. */
    record Response(int status, String body) {

        /** Returns the state that the response shows, empty if there is none. */
        String state() {
            return status == 200 && !body.isEmpty()
                    ? String.valueOf(Json.object(body).getOrDefault("state", ""))
                    : "";
        }
    }

    /**
     * Sends a request and reads the response.
     *
     * @throws IOException if there is no complete response in time
     */
    static Response call(
            String host, int port, String method, String path, String body, int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), Math.min(timeoutMillis, 1000));
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + Fleet.HOST
                            + "\r\nX-Wagtailproxy-Timeout-Ms: "
                            + timeoutMillis
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + bytes.length
                            + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(bytes);
            socket.getOutputStream().write(request.toByteArray());
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static Response read(InputStream input) throws IOException {
        String line = readLine(input);
        int status = Integer.parseInt(line.split(" ")[1]);
        int length = 0;
        while (!(line = readLine(input)).isEmpty()) {
            int colon = line.indexOf(':');
            if (line.substring(0, colon).equalsIgnoreCase("content-length")) {
                length = Integer.parseInt(line.substring(colon + 1).trim());
            }
        }
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the response ended early");
        }
        return new Response(status, new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int each = input.read(); each != '\n'; each = input.read()) {
            if (each < 0) {
                throw new IOException("the connection ended");
            }
            if (each != '\r') {
                line.append((char) each);
            }
        }
        return line.toString();
    }
}
