package review4;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP for the stand-ins: servers, and a client that opens a connection for each request. */
final class Web {

    static final ObjectMapper JSON = new ObjectMapper();

    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    work -> {
                        Thread thread = new Thread(work);
                        thread.setDaemon(true);
                        return thread;
                    });

    private Web() {}

    /** Handles a request; a null answer leaves the request without one and closes the connection. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    record Request(String method, String path, Map<String, String> query, String instance, JsonNode body) {}

    /** Status 0 stands for no answer. */
    record Answer(int status, String body) {
        static final Answer NONE = new Answer(0, "");

        JsonNode json() {
            try {
                return JSON.readTree(body.isEmpty() ? "{}" : body);
            } catch (IOException unreadable) {
                return JSON.createObjectNode();
            }
        }
    }

    static HttpServer serve(String host, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
        return server;
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String part : raw == null ? new String[0] : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
            String instance =
                    exchange.getRequestHeaders().getFirst("X-Wagtailproxy-Expected-Instance");
            Answer answer =
                    handler.handle(
                            new Request(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    query,
                                    instance,
                                    body));
            if (answer == null) {
                return;
            }
            byte[] content = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), content.length == 0 ? -1 : content.length);
            if (content.length > 0) {
                exchange.getResponseBody().write(content);
            }
        } catch (IOException closed) {
            // The caller has closed the connection.
        } catch (Exception failure) {
            failure.printStackTrace();
        }
    }

    /** Sends a request and waits for the answer at most for the given time. */
    static Answer call(
            String address, String method, String host, String path, String body, int waitMillis) {
        try (Socket socket = connect(address)) {
            return call(socket, method, host, path, body, waitMillis);
        } catch (IOException broken) {
            return Answer.NONE;
        }
    }

    /** Opens a connection that is kept. */
    static Socket connect(String address) throws IOException {
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                2000);
        return socket;
    }

    /** Sends a request on an open connection. */
    static Answer call(
            Socket socket, String method, String host, String path, String body, int waitMillis) {
        try {
            socket.setSoTimeout(waitMillis);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + host
                            + "\r\nX-Wagtailproxy-Timeout-Ms: " + waitMillis
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + content.length + "\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.getBytes(StandardCharsets.US_ASCII));
            whole.write(content);
            out.write(whole.toByteArray());
            out.flush();
            return readAnswer(socket.getInputStream());
        } catch (SocketTimeoutException late) {
            return Answer.NONE;
        } catch (IOException broken) {
            return Answer.NONE;
        }
    }

    private static Answer readAnswer(InputStream in) throws IOException {
        String status = readLine(in);
        if (status == null) {
            return Answer.NONE;
        }
        int length = 0;
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return Answer.NONE;
        }
        return new Answer(Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, 0));
            return socket.getLocalPort();
        }
    }

    static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, port));
            return true;
        } catch (IOException taken) {
            return false;
        }
    }
}
