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
 * Stands in for a backend server: waits as long as the payload says, times its own slowness, and
 * refuses beyond its slots. Each start is reported to the witness before anything else.
 */
final class BackendStandIn implements Closeable {

    private static final ScheduledExecutorService THREADS = Executors.newScheduledThreadPool(32);

    private final HttpServer mServer;
    private final String mAddress;
    private final Witness mWitness;
    private final double mSlowness;
    private final int mSlots;
    private final AtomicInteger mBusy = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mStarted = new AtomicInteger();
    private volatile boolean mFailing;
    private volatile boolean mMislabelling;

    BackendStandIn(String host, int port, double slowness, int slots, Witness witness)
            throws IOException {
        mAddress = host + ":" + port;
        mWitness = witness;
        mSlowness = slowness;
        mSlots = slots;
        mServer = HttpServer.create(new InetSocketAddress(host, port), 512);
        mServer.setExecutor(THREADS);
        mServer.createContext("/tasks", this::serve);
        mServer.start();
    }

    String address() {
        return mAddress;
    }

    /** Fails every task at once from now on, or no longer. */
    void failing(boolean failing) {
        mFailing = failing;
    }

    /** Gives the answer and the name of another task from now on, or no longer. */
    void mislabelling(boolean mislabelling) {
        mMislabelling = mislabelling;
    }

    int refused() {
        return mRefused.get();
    }

    int started() {
        return mStarted.get();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private void serve(HttpExchange exchange) throws IOException {
        String task = exchange.getRequestHeaders().getFirst("Wagtail-Task");
        String payload =
                new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (mBusy.incrementAndGet() > mSlots) {
            mBusy.decrementAndGet();
            mRefused.incrementAndGet();
            exchange.getResponseHeaders().set("Wagtail-Executed", "no");
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
            return;
        }
        mStarted.incrementAndGet();
        mWitness.started(task, mAddress);
        long milliseconds = mFailing ? 0 : Math.round(milliseconds(payload) * mSlowness);
        THREADS.schedule(
                () -> answer(exchange, task, payload), milliseconds, TimeUnit.MILLISECONDS);
    }

    private void answer(HttpExchange exchange, String task, String payload) {
        mBusy.decrementAndGet();
        String own = mMislabelling ? "0:another" : payload;
        byte[] answer = answerTo(own).getBytes(StandardCharsets.UTF_8);
        try (HttpExchange open = exchange) {
            String name = mMislabelling ? "another" : task;
            open.getResponseHeaders().set("Wagtail-Task", name);
            open.sendResponseHeaders(mFailing ? 500 : 200, answer.length);
            open.getResponseBody().write(answer);
        } catch (IOException gone) {
            mWitness.note(Map.of("answerLost", task));
        }
    }

    /** The only right answer to a payload. */
    static String answerTo(String payload) {
        return "done " + payload;
    }

    /** A payload reads MILLISECONDS:TEXT. */
    private static long milliseconds(String payload) {
        return Long.parseLong(payload.substring(0, payload.indexOf(':')));
    }
}
