package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Serves HTTP requests with JSON bodies on a loopback address. The machine behind it can lose its
 * power: then nothing is answered or closed, and after its return the connections of before are
 * reset as soon as bytes arrive on them.
 */
final class HttpService {

    private static final int BACKLOG = 1024;

    private final ServerSocket mListener;
    private final Handler mHandler;
    private volatile int mLife;
    private volatile boolean mDark;

    /** The answer to a request; null leaves the request without an answer. */
    record Answer(int status, Map<String, Object> body) {}

    /** A received request. The life of the machine changes when it loses its power. */
    record Request(
            String path,
            Map<String, String> query,
            Map<String, String> headers,
            String text,
            int life,
            IntSupplier currentLife) {

        Map<String, Object> body() {
            return text.isEmpty() ? Map.of() : Json.object(text);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Checks whether the machine has lost its power since the request. */
        boolean isOfEarlierLife() {
            return life != currentLife.getAsInt();
        }
    }

    /** Answers requests, on the thread of the connection. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    HttpService(String host, int port, Handler handler) throws IOException {
        mListener = new ServerSocket(port, BACKLOG, InetAddress.getByName(host));
        mHandler = handler;
        startThread(this::accept);
    }

    /** Takes the power away. */
    void powerOff() {
        mLife++;
        mDark = true;
    }

    /** Gives the power back. */
    void powerOn() {
        mLife++;
        mDark = false;
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "service");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mListener.accept();
                int life = mLife;
                startThread(() -> serve(socket, life));
            }
        } catch (IOException closed) {
            Record.log("a stand-in stops listening: %s", closed);
        }
    }

    private void serve(Socket socket, int life) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Request request = read(input, life);
                if (request == null) {
                    return;
                }
                if (request.isOfEarlierLife() || mDark) {
                    reset(socket);
                    return;
                }
                Answer answer = mHandler.handle(request);
                if (answer != null && !request.isOfEarlierLife()) {
                    write(socket.getOutputStream(), answer);
                }
            }
        } catch (IOException gone) {
            // The peer has closed the connection.
        } catch (Exception failure) {
            Record.log("a stand-in fails: %s", failure);
        }
    }

    /** Resets a connection of an earlier life once the machine is back. */
    private void reset(Socket socket) throws IOException, InterruptedException {
        while (mDark) {
            Thread.sleep(5);
        }
        socket.setSoLinger(true, 0);
    }

    private Request read(InputStream input, int life) throws IOException {
        String first = readLine(input);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(input); line != null && !line.isEmpty(); ) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = readLine(input);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String text = new String(input.readNBytes(length), StandardCharsets.UTF_8);
        String target = first.split(" ")[1];
        int mark = target.indexOf('?');
        Map<String, String> query = new HashMap<>();
        for (String part : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            int sign = part.indexOf('=');
            query.put(
                    part.substring(0, sign),
                    URLDecoder.decode(part.substring(sign + 1), StandardCharsets.UTF_8));
        }
        String path = mark < 0 ? target : target.substring(0, mark);
        return new Request(path, query, headers, text, life, () -> mLife);
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int each = input.read(); each != '\n'; each = input.read()) {
            if (each < 0) {
                return null;
            }
            if (each != '\r') {
                line.append((char) each);
            }
        }
        return line.toString();
    }

    private static void write(OutputStream output, Answer answer) throws IOException {
        byte[] body = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
        String head =
                "HTTP/1.1 "
                        + answer.status()
                        + " status\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n";
        byte[] bytes = new byte[head.length() + body.length];
        System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, bytes, 0, head.length());
        System.arraycopy(body, 0, bytes, head.length(), body.length);
        output.write(bytes);
        output.flush();
    }
}
