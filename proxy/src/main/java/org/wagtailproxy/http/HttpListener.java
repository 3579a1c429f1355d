package org.wagtailproxy.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.DateFormatter;
import java.io.Closeable;
import java.io.IOException;
import java.util.Date;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailproxy.document.Problems;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.limits.ClientLimits;
import org.wagtailproxy.limits.ExceededLimit;
import org.wagtailproxy.limits.LimitReports;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;

/**
 * Listens for callers and operators, and routes each call by the first two segments of its path.
 * Receives requests and sends answers on an event loop of its own, so that no caller keeps a thread
 * of the routes waiting.
 */
public final class HttpListener implements Closeable {

    private static final String LISTENER_NAME = "callers";

    /** Names of the header lines that the routes read. */
    private static final Set<String> HEADER_NAMES =
            Set.of("wagtail-team", "wagtail-declared-milliseconds", "wagtail-idempotent");

    private static final int STATUS_TOO_LARGE = 413;
    private static final int STATUS_URI_TOO_LONG = 414;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_HEADERS_TOO_LARGE = 431;
    private static final int STATUS_UNAVAILABLE = 503;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, HttpRoute> mRoutes;
    private final ClientLimits mLimits;
    private final Executor mExecutor;
    private final EventLog mLog;
    private final LimitReports mLimitReports = new LimitReports();
    private final AtomicInteger mOpenCalls = new AtomicInteger();
    private HttpServer mServer;
    private volatile long mLastCallNanos = System.nanoTime();

    private HttpListener(
            Map<String, HttpRoute> routes, ClientLimits limits, Executor executor, EventLog log) {
        mRoutes = new TreeMap<>(routes);
        mLimits = limits;
        mExecutor = executor;
        mLog = log;
    }

    /**
     * Starts to listen.
     *
     * @param address the address to listen on, not null
     * @param routes the routes by the first two segments of the path, joined by a slash, not null
     * @param limits the limits on callers and operators, not null
     * @param executor runs the routes, not null
     * @param log the log, not null
     * @return the listener, never null
     * @throws IOException if it cannot listen on the address
     */
    public static HttpListener start(
            HostAddress address,
            Map<String, HttpRoute> routes,
            ClientLimits limits,
            Executor executor,
            EventLog log)
            throws IOException {
        Objects.requireNonNull(routes, "routes");
        HttpListener listener = new HttpListener(routes, limits, executor, log);
        try {
            listener.mServer =
                    HttpServer.start(
                            address,
                            listener.mGroup,
                            limits,
                            listener.new CallHandler(),
                            listener::logLimit);
        } catch (RuntimeException failure) {
            listener.mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw failure;
        }
        return listener;
    }

    /**
     * Returns the number of calls whose answers have not been sent yet.
     *
     * @return the number of open calls
     */
    public int openCalls() {
        return mOpenCalls.get();
    }

    /** Adds a header to all further answers that requests the caller to close its connection. */
    public void closeConnectionsAfterAnswer() {
        mGroup.next().execute(mServer::closeConnectionsAfterResponse);
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
        mGroup.next().execute(mServer::close);
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Returns an answer with the time at which it was made. */
    static HttpAnswer answer(int status, Map<String, String> headers, byte[] body) {
        Map<String, String> dated = new HashMap<>(headers);
        dated.put("Date", DateFormatter.format(new Date()));
        return new HttpAnswer(status, dated, body);
    }

    private void logLimit(ExceededLimit limit, long bound) {
        mLimitReports
                .record(limit, System.nanoTime())
                .forEach(
                        count ->
                                mLog.event(EventName.CLIENTS_LIMITED)
                                        .with(EventField.RESOURCE, LISTENER_NAME)
                                        .with(EventField.REASON, limit.externalName())
                                        .with(EventField.BOUND, bound)
                                        .with(EventField.COUNT, count)
                                        .warn());
    }

    private void serve(HttpCall call) {
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

    /** Passes requests to the routes, and explains refusals of the server. */
    private final class CallHandler implements HttpServer.Handler {

        @Override
        public void handle(HttpServer.Exchange exchange) {
            mOpenCalls.incrementAndGet();
            mLastCallNanos = System.nanoTime();
            AtomicBoolean ended = new AtomicBoolean();
            Runnable onEnd =
                    () -> {
                        if (ended.compareAndSet(false, true)) {
                            mOpenCalls.decrementAndGet();
                        }
                    };
            exchange.onDisconnect(onEnd);
            HttpCall call = new HttpCall(exchange, mGroup.next(), onEnd);
            mExecutor.execute(() -> serve(call));
        }

        @Override
        public Set<String> headerNames() {
            return HEADER_NAMES;
        }

        @Override
        public HttpAnswer refusal(int status) {
            Failure failure = failureOf(status);
            Map<String, String> headers = Map.of("Content-Type", Problems.MEDIA_TYPE);
            return answer(status, headers, Problems.bytes(failure));
        }

        private Failure failureOf(int status) {
            return switch (status) {
                case STATUS_TOO_LARGE ->
                        Failure.of(
                                FailureKind.BODY_TOO_LARGE,
                                "at most " + mLimits.maxBodyBytes() + " bytes");
                case STATUS_URI_TOO_LONG ->
                        Failure.of(
                                FailureKind.TARGET_TOO_LONG,
                                "at most " + mLimits.maxHeaderBytes() + " bytes");
                case STATUS_HEADERS_TOO_LARGE ->
                        Failure.of(
                                FailureKind.HEADERS_TOO_LARGE,
                                "at most " + mLimits.maxHeaderBytes() + " bytes");
                case STATUS_TOO_MANY_REQUESTS ->
                        Failure.of(
                                FailureKind.READ_AHEAD_EXCEEDED,
                                "at most " + mLimits.maxReadAheadBytes() + " bytes ahead");
                case STATUS_UNAVAILABLE ->
                        Failure.of(FailureKind.TOO_MANY_CALLS, "too many calls at a time");
                default -> Failure.of(FailureKind.MALFORMED_REQUEST, "not an HTTP request");
            };
        }
    }
}
