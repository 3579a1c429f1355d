package org.wagtailproxy.integration;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a backend server.
 *
 * <p>A task takes the run time that its payload names, multiplied by the slowdown of the server.
 * Tasks beyond the number of slots are refused with status 503. Each start is recorded before the
 * run time of the task begins.
 */
final class BackendStandIn implements Closeable {

    private static final ScheduledExecutorService EXECUTOR = Executors.newScheduledThreadPool(32);

    private final HttpServer mServer;
    private final String mAddress;
    private final TaskStartRecorder mStartRecorder;
    private final double mSlowdown;
    private final int mSlots;
    private final AtomicInteger mRunningTasks = new AtomicInteger();
    private final AtomicInteger mRefusedTasks = new AtomicInteger();
    private final AtomicInteger mStartedTasks = new AtomicInteger();
    private volatile boolean mFailing;
    private volatile boolean mMislabelling;

    BackendStandIn(
            String host, int port, double slowdown, int slots, TaskStartRecorder startRecorder)
            throws IOException {
        mAddress = host + ":" + port;
        mStartRecorder = startRecorder;
        mSlowdown = slowdown;
        mSlots = slots;
        mServer = HttpServer.create(new InetSocketAddress(host, port), 512);
        mServer.setExecutor(EXECUTOR);
        mServer.createContext("/tasks", this::handle);
        mServer.start();
    }

    String address() {
        return mAddress;
    }

    /** Sets whether every task fails immediately with status 500. */
    void setFailing(boolean failing) {
        mFailing = failing;
    }

    /** Sets whether answers carry the name and the content of another task. */
    void setMislabelling(boolean mislabelling) {
        mMislabelling = mislabelling;
    }

    int refusedTasks() {
        return mRefusedTasks.get();
    }

    int startedTasks() {
        return mStartedTasks.get();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String task = exchange.getRequestHeaders().getFirst("Wagtail-Task");
        String payload =
                new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (mRunningTasks.incrementAndGet() > mSlots) {
            mRunningTasks.decrementAndGet();
            mRefusedTasks.incrementAndGet();
            exchange.getResponseHeaders().set("Wagtail-Executed", "no");
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
            return;
        }
        mStartedTasks.incrementAndGet();
        mStartRecorder.recordStart(task, mAddress);
        long milliseconds = mFailing ? 0 : Math.round(runMilliseconds(payload) * mSlowdown);
        EXECUTOR.schedule(
                () -> sendAnswer(exchange, task, payload), milliseconds, TimeUnit.MILLISECONDS);
    }

    private void sendAnswer(HttpExchange exchange, String task, String payload) {
        mRunningTasks.decrementAndGet();
        String answeredPayload = mMislabelling ? "0:another" : payload;
        byte[] answer = expectedAnswer(answeredPayload).getBytes(StandardCharsets.UTF_8);
        try (HttpExchange closing = exchange) {
            String answeredTask = mMislabelling ? "another" : task;
            closing.getResponseHeaders().set("Wagtail-Task", answeredTask);
            closing.sendResponseHeaders(mFailing ? 500 : 200, answer.length);
            closing.getResponseBody().write(answer);
        } catch (IOException connectionLost) {
            mStartRecorder.recordEvent(Map.of("answerLost", task));
        }
    }

    /** Returns the only correct answer to a payload. */
    static String expectedAnswer(String payload) {
        return "done " + payload;
    }

    /** Parses the run time of a payload of the form MILLISECONDS:TEXT. */
    private static long runMilliseconds(String payload) {
        return Long.parseLong(payload.substring(0, payload.indexOf(':')));
    }
}
