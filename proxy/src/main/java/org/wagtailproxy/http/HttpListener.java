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

/** Listens for callers and operators, and passes each call on by the start of its path. */
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
     * Sets what the server of the JDK reads only once; to be called before anything else.
     *
     * <p>Without it small answers wait for delayed acknowledgements, many idle connections are
     * closed, and a slow sender holds a thread for good.
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
     * @param address where, not null
     * @param routes who serves which first two segments of the path, not null
     * @param bodyLimit the largest body in bytes
     * @param executor runs the routes, not null
     * @param log the log, not null
     * @return the front, never null
     * @throws IOException if the address cannot be listened on
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
        HttpListener front = new HttpListener(server, routes, bodyLimit, log);
        server.setExecutor(executor);
        server.createContext("/", front::serve);
        server.start();
        return front;
    }

    /**
     * Counts the calls that are not answered.
     *
     * @return the number
     */
    public int openCalls() {
        return mOpenCalls.get();
    }

    /** Has callers close their connections with the next answer. */
    public void closeConnectionsAfterAnswer() {
        mClosing = true;
    }

    /**
     * Tells how long ago the last call arrived.
     *
     * @return nanoseconds
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
