package org.wagtailproxy.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vavr.control.Option;
import java.io.Closeable;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.limits.ClientLimits;
import org.wagtailproxy.limits.ClientLoad;
import org.wagtailproxy.limits.ExceededLimit;
import org.wagtailproxy.turns.LoopTurns;

/**
 * Accepts HTTP requests, passes them to a handler and detects when a client disconnects before the
 * response. Refuses what exceeds the limits on clients, see {@link ClientLoad}. Confined to the
 * event loop.
 */
public final class HttpServer implements Closeable {

    /** Is called with each request that the server has received completely. */
    public interface Handler {

        /**
         * Responds to a request, at once or later, on the event loop.
         *
         * @param exchange the request and its response, not null
         */
        void handle(Exchange exchange);

        /**
         * Returns the names of the header lines that this handler reads. Others are not kept.
         *
         * @return the names in lower case, never null
         */
        Set<String> headerNames();

        /**
         * Returns the answer to a request that the server refuses by itself.
         *
         * @param status the status code
         * @return the answer, never null
         */
        HttpAnswer refusal(int status);
    }

    /** Is notified of clients that are refused or disconnected because of a limit. */
    public interface LimitListener {

        /**
         * Is called for each such client.
         *
         * @param limit the limit, not null
         * @param bound its bound, in the unit of the limit
         */
        void onLimitExceeded(ExceededLimit limit, long bound);
    }

    /**
     * Maximum number of connections that wait to be accepted. Covers a burst while the process is
     * briefly busy.
     */
    private static final int BACKLOG = 1024;

    /** Bytes that are read of all clients in one pass of the event loop. */
    private static final long READ_BYTES_PER_PASS = 131_072;

    /** Work on requests in one pass of the event loop. */
    private static final long HANDLED_BYTES_PER_PASS = 65_536;

    /** Work on a request beside that on its body, as the bytes that are read in the same time. */
    private static final long REQUEST_WORK_BYTES = 2048;

    /** Bytes that are read to find out whether clients that have sent ahead are connected. */
    private static final long DETECTION_BYTES = 262_144;

    /**
     * Unread responses of a connection above which its next request is not handled, and below which
     * it is handled again, in bytes.
     */
    private static final WriteBufferWaterMark UNREAD_RESPONSES =
            new WriteBufferWaterMark(4096, 16_384);

    private final Handler mHandler;
    private final HttpHeadersFactory mHeadersFactory;
    private final ClientLoad mLoad;
    private final LimitListener mLimitListener;
    private final Set<ClientConnection> mConnections = new HashSet<>();
    private final LoopTurns<ClientConnection> mReadingTurns;
    private final LoopTurns<ClientConnection> mHandlingTurns;
    private Channel mServerChannel;
    private boolean mCloseAfterResponse;
    private boolean mTickScheduled;
    private long mDisconnectsDetectedNanos = System.nanoTime() - ClientConnection.READ_VALID_NANOS;

    private HttpServer(
            EventLoopGroup group,
            Handler handler,
            ClientLimits limits,
            LimitListener limitListener) {
        mReadingTurns = LoopTurns.of(group, READ_BYTES_PER_PASS, ClientConnection::takeReadingTurn);
        mHandlingTurns =
                LoopTurns.of(group, HANDLED_BYTES_PER_PASS, ClientConnection::takeHandlingTurn);
        mHandler = handler;
        mHeadersFactory = SelectedHeaders.factory(handler.headerNames());
        mLoad = ClientLoad.of(limits);
        mLimitListener = limitListener;
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on, not null
     * @param group the event loop group, of one thread; not null
     * @param limits the limits on clients, not null
     * @param handler responds to the requests, not null
     * @param limitListener is notified of clients beyond the limits, not null
     * @return the server, never null
     */
    public static HttpServer start(
            HostAddress address,
            EventLoopGroup group,
            ClientLimits limits,
            Handler handler,
            LimitListener limitListener) {
        HttpServer server =
                new HttpServer(
                        group,
                        Objects.requireNonNull(handler, "handler"),
                        Objects.requireNonNull(limits, "limits"),
                        Objects.requireNonNull(limitListener, "limitListener"));
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_RESPONSES)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        server.addConnection(channel);
                                    }
                                });
        server.mServerChannel =
                bootstrap.bind(address.host(), address.port()).syncUninterruptibly().channel();
        return server;
    }

    /**
     * Replaces the limits. They apply to requests that begin from now on.
     *
     * @param limits the limits, not null
     */
    public void updateLimits(ClientLimits limits) {
        mLoad.updateLimits(limits);
    }

    /**
     * Returns the limits on clients.
     *
     * @return the limits, never null
     */
    public ClientLimits limits() {
        return mLoad.limits();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int connections() {
        return mLoad.connections();
    }

    /**
     * Returns the memory that the requests and responses of clients take up.
     *
     * @return the memory in bytes
     */
    public long clientMemoryBytes() {
        return mLoad.usedBytes();
    }

    /** Closes each connection after its next response from now on. */
    public void closeConnectionsAfterResponse() {
        mCloseAfterResponse = true;
    }

    /** Closes the connections without a pending request. */
    public void closeIdleConnections() {
        for (ClientConnection connection : Set.copyOf(mConnections)) {
            if (connection.isIdle()) {
                connection.close();
            }
        }
    }

    /**
     * Returns the number of connections with requests that have been received but not answered.
     *
     * @return the number of connections
     */
    public int pendingRequests() {
        int pending = 0;
        for (ClientConnection connection : mConnections) {
            pending += connection.isIdle() ? 0 : 1;
        }
        return pending;
    }

    /**
     * Detects which clients have disconnected whose requests are being handled. A busy event loop
     * does so late. A client counts as disconnected if it has sent so much ahead that this is not
     * known. Requests that wait to be handled are not looked at, since their connections are read
     * to the end before.
     */
    public void detectDisconnects() {
        long nowNanos = System.nanoTime();
        if (nowNanos - mDisconnectsDetectedNanos <= ClientConnection.READ_VALID_NANOS) {
            return;
        }
        mDisconnectsDetectedNanos = nowNanos;
        long remainingBytes = DETECTION_BYTES;
        for (ClientConnection connection : Set.copyOf(mConnections)) {
            if (!connection.hasRequestInHand()) {
                continue;
            }
            while (!connection.isKnownToBeOpen() && connection.isActive() && remainingBytes > 0) {
                remainingBytes -= ClientConnection.TURN_BYTES;
            }
            if (!connection.isKnownToBeOpen()) {
                connection.closeAsDisconnected();
            }
        }
    }

    @Override
    public void close() {
        mServerChannel.close();
        for (ClientConnection connection : Set.copyOf(mConnections)) {
            connection.close();
        }
    }

    private void addConnection(SocketChannel channel) {
        ClientConnection connection = new ClientConnection(channel, this);
        Option<ClientLoad.Account> account = mLoad.open(connection);
        if (account.isEmpty()) {
            recordExceeded(ExceededLimit.CONNECTIONS);
            channel.close();
            return;
        }
        mConnections.add(connection);
        RequestAssembler assembler = new RequestAssembler(mLoad, account.get(), connection);
        RequestDecoder decoder = new RequestDecoder(mLoad.limits(), mHeadersFactory);
        connection.open(account.get(), decoder, assembler);
        channel.pipeline()
                .addLast(decoder)
                .addLast(new HttpResponseEncoder())
                .addLast(assembler)
                .addLast(connection);
    }

    void removeConnection(ClientConnection connection) {
        mConnections.remove(connection);
    }

    void handle(Exchange exchange) {
        mHandler.handle(exchange);
    }

    /** Checks whether a connection may be read that has not waited for its turn. */
    boolean mayRead() {
        return mReadingTurns.hasBudgetForArrivals();
    }

    void awaitReading(ClientConnection connection, boolean newcomer) {
        mReadingTurns.add(connection, newcomer);
    }

    void awaitHandling(ClientConnection connection, boolean newcomer) {
        mHandlingTurns.add(connection, newcomer);
    }

    void countRead(int bytes) {
        mReadingTurns.spend(bytes);
    }

    void countHandled(int bodyBytes) {
        mHandlingTurns.spend(REQUEST_WORK_BYTES + bodyBytes);
    }

    void countResponse(int bodyBytes) {
        mHandlingTurns.spend(bodyBytes);
    }

    HttpAnswer refusal(int status) {
        return mHandler.refusal(status);
    }

    boolean closesAfterResponse() {
        return mCloseAfterResponse;
    }

    void recordExceeded(ExceededLimit limit) {
        mLimitListener.onLimitExceeded(limit, mLoad.limits().boundOf(limit));
    }

    /** Checks the time limits until no client has started what it does not finish. */
    void checkTimeLimits() {
        if (mTickScheduled) {
            return;
        }
        mTickScheduled = true;
        mServerChannel
                .eventLoop()
                .schedule(
                        () -> {
                            mTickScheduled = false;
                            if (mLoad.tick()) {
                                checkTimeLimits();
                            }
                        },
                        ClientLoad.TICK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Represents a request and its response. */
    public static final class Exchange {

        private final ClientConnection mConnection;
        private final ReceivedRequest mRequest;
        private byte[] mBody;
        private final long mQueuedBytes;
        private long mMemoryBytes;
        private Runnable mOnDisconnect = () -> {};
        private boolean mResponded;

        Exchange(ClientConnection connection, ReceivedRequest request, long queuedBytes) {
            mQueuedBytes = queuedBytes;
            mConnection = connection;
            mRequest = request.withoutBody();
            mBody = request.body();
            mMemoryBytes = request.memoryBytes();
        }

        ReceivedRequest request() {
            return mRequest;
        }

        long memoryBytes() {
            return mMemoryBytes;
        }

        /** Returns what the request counts while it waits for the response to an earlier one. */
        long queuedBytes() {
            return mQueuedBytes;
        }

        /** Ignores the response from now on, because the client has disconnected. */
        void onDisconnected() {
            mResponded = true;
            mOnDisconnect.run();
        }

        /**
         * Returns the HTTP method.
         *
         * @return the method in upper case, never null
         */
        public String method() {
            return mRequest.method();
        }

        /**
         * Returns the path with its query.
         *
         * @return the request target, never null
         */
        public String uri() {
            return mRequest.uri();
        }

        /**
         * Returns the path without its query.
         *
         * @return the path, never null
         */
        public String path() {
            String uri = mRequest.uri();
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        /**
         * Returns the value of a header.
         *
         * @param name the name of the header, not null
         * @return the value, empty if the header is missing; never null
         */
        public String header(String name) {
            String value = mRequest.headers().get(name);
            return value == null ? "" : value;
        }

        /**
         * Returns the body.
         *
         * @return the bytes, never null
         */
        public byte[] body() {
            return mBody;
        }

        /**
         * Releases the body, and counts the memory of what it was decoded to until the response.
         *
         * @param bytes the memory in bytes
         * @return false if there is not enough memory, and the request has to be refused
         */
        public boolean replaceBody(long bytes) {
            long difference = bytes - mBody.length;
            mBody = mRequest.body();
            if (!mConnection.reserve(difference)) {
                return false;
            }
            mMemoryBytes += difference;
            return true;
        }

        /**
         * Sets the action for the case that the client disconnects before the response.
         *
         * @param action runs once on the disconnect, not null
         */
        public void onDisconnect(Runnable action) {
            mOnDisconnect = action;
        }

        /**
         * Sends the response. Further calls are ignored.
         *
         * @param answer the response, not null
         */
        public void respond(HttpAnswer answer) {
            respond(answer, () -> {});
        }

        /**
         * Sends the response. Further calls are ignored.
         *
         * @param answer the response, not null
         * @param onSent runs when it has been sent, or the client has disconnected before; not null
         */
        public void respond(HttpAnswer answer, Runnable onSent) {
            if (!mResponded) {
                mResponded = true;
                mConnection.respond(this, answer, onSent);
            }
        }
    }
}
