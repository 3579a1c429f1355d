package org.wagtailproxy.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;

/**
 * Listens for callers and operators, and routes each call by the first two segments of its path.
 */
public final class HttpListener implements Closeable {

    private static final int BACKLOG = 1024;

    private final HttpServer mServer;
    private final Map<String, HttpRoute> mRoutes;
    private final int mBodyLimit;
    private final EventLog mLog;
    private final AtomicInteger mOpenCalls = new AtomicInteger();
    private volatile boolean mClosing;
    private volatile long mLastCallNanos = System.nanoTime();

    private HttpListener(
            HttpServer server, Map<String, HttpRoute> routes, int bodyLimit, EventLog log) {
        mServer = server;
        mRoutes = new TreeMap<>(routes);
        mBodyLimit = bodyLimit;
        mLog = log;
    }

    /**
     * Sets the system properties of the HTTP server of the JDK, which reads them only once. Must be
     * called before any other use of that server.
     *
     * <p>Without these properties, small answers wait for delayed acknowledgements, the server
     * closes idle connections when there are many, and a slow sender blocks a thread forever.
     */
    public static void setSystemProperties() {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
        System.setProperty("sun.net.httpserver.maxReqTime", "20");
        System.setProperty("sun.net.httpserver.idleInterval", "60");
    }

    /**
     * Starts to listen.
     *
     * @param address the address to listen on, not null
     * @param routes the routes by the first two segments of the path, joined by a slash, not null
     * @param bodyLimit the maximum size of a request body in bytes
     * @param executor runs the routes, not null
     * @param log the log, not null
     * @return the listener, never null
     * @throws IOException if it cannot listen on the address
     */
    public static HttpListener start(
            HostAddress address,
            Map<String, HttpRoute> routes,
            int bodyLimit,
            Executor executor,
            EventLog log)
            throws IOException {
        Objects.requireNonNull(routes, "routes");
        InetSocketAddress socket = new InetSocketAddress(address.host(), address.port());
        HttpServer server = HttpServer.create(socket, BACKLOG);
        HttpListener listener = new HttpListener(server, routes, bodyLimit, log);
        server.setExecutor(executor);
        server.createContext("/", listener::serve);
        server.start();
        return listener;
    }

    /**
     * Returns the number of calls that are not answered yet.
     *
     * @return the number of open calls
     */
    public int openCalls() {
        return mOpenCalls.get();
    }

    /** Adds a header to all further answers that requests the caller to close its connection. */
    public void closeConnectionsAfterAnswer() {
        mClosing = true;
    }

    /**
     * Returns the time since the last call arrived.
     *
     * @return the time in nanoseconds
     */
    public long idleNanos() {
        return System.nanoTime() - mLastCallNanos;
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private void serve(HttpExchange exchange) {
        mOpenCalls.incrementAndGet();
        mLastCallNanos = System.nanoTime();
        HttpCall call = new HttpCall(exchange, mBodyLimit, mOpenCalls, () -> mClosing);
        try {
            String key = String.join("/", call.path().stream().limit(2).toList());
            HttpRoute route = mRoutes.get(key);
            if (route == null) {
                call.refuse(Failure.of(FailureKind.NO_SUCH_ADDRESS, "no such address"));
                return;
            }
            route.serve(call);
        } catch (RuntimeException defect) {
            mLog.event(EventName.DEFECT).error(defect);
            call.refuse(Failure.of(FailureKind.INTERNAL, "see the log of the instance"));
        }
    }
}
