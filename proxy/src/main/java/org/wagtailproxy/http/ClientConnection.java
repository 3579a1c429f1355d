package org.wagtailproxy.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.http.HttpServer.Exchange;
import org.wagtailproxy.limits.ClientLoad;
import org.wagtailproxy.limits.ExceededLimit;
import org.wagtailproxy.turns.InputTurns;

/**
 * A client's connection. Its requests are handled one after another, and read and handled in turn
 * with those of others. A request beyond a limit is refused once the earlier ones are answered, and
 * the connection is closed then. The input is read all the time, since only that shows that the
 * client has disconnected. A request is handled only when nothing is left to read, as the client
 * may have disconnected behind what is.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
        implements ClientLoad.Client, RequestAssembler.Listener {

    /**
     * Time for which a connection counts as open since it was read to its end. Above the time that
     * a request usually waits to be handled, so that only a busy process reads again.
     */
    static final long READ_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    /**
     * Time after a refusal in which the client may read it. A connection that is closed with unread
     * input is reset, which may discard the refusal.
     */
    private static final long LINGER_MILLIS = 1000;

    /** Bytes after which others are read. */
    static final int TURN_BYTES = 16_384;

    /** Bytes of a connection that waits for its first turn after which others are read. */
    static final int FIRST_TURN_BYTES = 2048;

    /** Objects of a response without its body. */
    private static final int RESPONSE_BYTES = 700;

    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_INTERNAL_ERROR = 500;
    private static final long RETRY_AFTER_SECONDS = 1;

    private final SocketChannel mChannel;
    private final HttpServer mServer;
    private final InputTurns mInput;
    private final Deque<Exchange> mQueuedExchanges = new ArrayDeque<>();
    private ClientLoad.Account mAccount;
    private RequestDecoder mDecoder;
    private RequestAssembler mAssembler;
    private Exchange mCurrentExchange;
    private long mQueuedBytes;
    private long mReadNanos = System.nanoTime();
    private int mUnreadResponses;
    private boolean mAwaitsHandling;
    private boolean mAwaitsReading;
    private boolean mIsFirstReadingTurn;
    private boolean mIsReadingDue;

    /** The status of the refusal with which the connection ends, 0 if there is none. */
    private int mRefusalStatus;

    private boolean mRefused;

    ClientConnection(SocketChannel channel, HttpServer server) {
        mChannel = channel;
        mServer = server;
        mInput = new InputTurns(TURN_BYTES, InputTurns.End.EMPTY_READ, new InputBudget());
        channel.config().setRecvByteBufAllocator(mInput);
    }

    void open(ClientLoad.Account account, RequestDecoder decoder, RequestAssembler assembler) {
        mAccount = account;
        mDecoder = decoder;
        mAssembler = assembler;
    }

    boolean reserve(long bytes) {
        return mAccount.reserve(bytes);
    }

    void close() {
        mChannel.close();
    }

    /**
     * Checks whether the client is known to be connected still. The event loop runs many tasks
     * before it notices a disconnect by itself.
     */
    boolean isKnownToBeOpen() {
        if (!isRecentlyDrained()) {
            read();
        }
        return mChannel.isActive() && mInput.isDrained();
    }

    private boolean isRecentlyDrained() {
        return mInput.isDrained() && System.nanoTime() - mReadNanos <= READ_VALID_NANOS;
    }

    boolean isActive() {
        return mChannel.isActive();
    }

    /** Checks whether a request is being handled. */
    boolean hasRequestInHand() {
        return mCurrentExchange != null;
    }

    /** Takes the connection's turn to be read. */
    void takeReadingTurn() {
        mAwaitsReading = false;
        if (mIsFirstReadingTurn) {
            mInput.limitNextTurn(FIRST_TURN_BYTES);
        }
        read();
    }

    private void read() {
        if (!mChannel.isActive()) {
            return;
        }
        mIsReadingDue = true;
        ((AbstractNioChannel.NioUnsafe) mChannel.unsafe()).read();
        mIsReadingDue = false;
    }

    /** Closes the connection of a client that may have disconnected. */
    void closeAsDisconnected() {
        if (mChannel.isActive()) {
            mServer.recordExceeded(ExceededLimit.READ_AHEAD);
        }
        mAssembler.reject();
        close();
        onDisconnected();
    }

    @Override
    public boolean isIdle() {
        return mCurrentExchange == null && mQueuedExchanges.isEmpty();
    }

    @Override
    public void onRequest(ReceivedRequest request) {
        long requestBytes = Math.max(request.memoryBytes(), mDecoder.takeReceivedBytes());
        long queuedBytes = mQueuedBytes + requestBytes;
        boolean newcomer = isIdle();
        if (!newcomer && queuedBytes > mServer.limits().maxReadAheadBytes()) {
            mAccount.release(request.memoryBytes());
            mAssembler.reject();
            onRejected(STATUS_TOO_MANY_REQUESTS, ExceededLimit.READ_AHEAD);
            return;
        }
        mQueuedBytes = queuedBytes;
        mQueuedExchanges.add(new Exchange(this, request, requestBytes));
        // A client that has left meanwhile may have sent its job elsewhere.
        awaitHandling(newcomer);
    }

    @Override
    public void onRejected(int status, ExceededLimit limit) {
        mRefusalStatus = status;
        if (limit != null) {
            mServer.recordExceeded(limit);
        }
        mChannel.pipeline().addFirst(new InputDiscarder());
        awaitHandling(isIdle());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mInput.isDrained()) {
            onDrained();
        } else {
            awaitReading();
        }
        updateWait();
        context.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        awaitHandling(false);
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onDisconnected();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close();
    }

    @Override
    public void closeBecauseOf(ExceededLimit limit) {
        mServer.recordExceeded(limit);
        // The event loop reads other connections before it reports that this one is closed.
        mAssembler.reject();
        mQueuedExchanges.clear();
        close();
    }

    /** Reports to the account what the server waits for. */
    private void updateWait() {
        boolean isSendingAhead = !mInput.isDrained() && !mQueuedExchanges.isEmpty();
        if (mCurrentExchange != null || (!isIdle() && !isSendingAhead)) {
            mAccount.handleRequest();
        } else if (isSendingAhead || mAssembler.hasIncompleteRequest()) {
            mAccount.awaitBody();
        } else if (mRefusalStatus == 0 && mDecoder.hasPartialInput()) {
            mAccount.awaitHeader();
        } else {
            mAccount.awaitRequest();
        }
        if (mAccount.isTimed()) {
            mServer.checkTimeLimits();
        }
    }

    private void onDrained() {
        mReadNanos = System.nanoTime();
        if (!mChannel.config().isAutoRead()) {
            mChannel.config().setAutoRead(true);
            awaitHandling(false);
        }
    }

    /** Stops to read until it is the connection's turn. */
    private void awaitReading() {
        mChannel.config().setAutoRead(false);
        if (!mAwaitsReading) {
            mAwaitsReading = true;
            mIsFirstReadingTurn = mInput.isDeferred() && !hasSentAhead();
            mServer.awaitReading(this, mIsFirstReadingTurn);
        }
    }

    /** Checks whether earlier requests of the client wait, or what it sends is ignored. */
    private boolean hasSentAhead() {
        return !mQueuedExchanges.isEmpty() || mRefusalStatus != 0;
    }

    private void awaitHandling(boolean newcomer) {
        if (!mAwaitsHandling) {
            mAwaitsHandling = true;
            mServer.awaitHandling(this, newcomer);
        }
    }

    /** Takes the connection's turn to have a request handled. */
    void takeHandlingTurn() {
        mAwaitsHandling = false;
        if (mCurrentExchange != null || !mChannel.isWritable() || !mChannel.isActive()) {
            return;
        }
        if (!mQueuedExchanges.isEmpty()) {
            handleNext();
        } else if (mRefusalStatus != 0 && !mRefused) {
            refuse();
        }
    }

    private void handleNext() {
        // If input is left, the connection gets another turn once it has been read.
        if (!mInput.isDrained() || !isKnownToBeOpen()) {
            return;
        }
        if (!mAccount.beginRequest()) {
            refuseQueued();
            return;
        }
        mCurrentExchange = mQueuedExchanges.poll();
        mQueuedBytes -= mCurrentExchange.queuedBytes();
        mServer.countHandled(mCurrentExchange.body().length);
        handle(mCurrentExchange);
    }

    /** Refuses the requests that wait, none of which has been handled. */
    private void refuseQueued() {
        mQueuedExchanges.forEach(exchange -> mAccount.release(exchange.memoryBytes()));
        mQueuedExchanges.clear();
        mQueuedBytes = 0;
        mAssembler.reject();
        onRejected(STATUS_UNAVAILABLE, ExceededLimit.REQUESTS);
    }

    private void handle(Exchange exchange) {
        try {
            mServer.handle(exchange);
        } catch (RuntimeException defect) {
            exchange.respond(HttpAnswer.empty(STATUS_INTERNAL_ERROR));
            throw defect;
        }
    }

    void respond(Exchange exchange, HttpAnswer answer, Runnable onSent) {
        boolean last = mServer.closesAfterResponse() || !exchange.request().keepAlive();
        mCurrentExchange = null;
        mAccount.endRequest();
        mAccount.release(exchange.memoryBytes());
        FullHttpResponse response = response(answer, last);
        if (exchange.method().equals("HEAD")) {
            response = response.replace(Unpooled.EMPTY_BUFFER);
        }
        mServer.countResponse(answer.body().length);
        ChannelFuture written = write(response, answer.body().length);
        written.addListener(done -> onSent.run());
        if (last) {
            written.addListener(done -> close());
            return;
        }
        updateWait();
        if (!mQueuedExchanges.isEmpty() || mRefusalStatus != 0) {
            awaitHandling(false);
        }
    }

    private void refuse() {
        mRefused = true;
        HttpAnswer refusal = mServer.refusal(mRefusalStatus);
        FullHttpResponse response = response(refusal, true);
        if (mRefusalStatus == STATUS_TOO_MANY_REQUESTS || mRefusalStatus == STATUS_UNAVAILABLE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        write(response, refusal.body().length).addListener(done -> mChannel.shutdownOutput());
        mChannel.eventLoop().schedule(this::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private ChannelFuture write(FullHttpResponse response, int bodyBytes) {
        long memoryBytes = RESPONSE_BYTES + bodyBytes;
        mAccount.add(memoryBytes);
        mAccount.setUnreadResponses(true);
        mUnreadResponses++;
        return mChannel.writeAndFlush(response)
                .addListener(
                        done -> {
                            mUnreadResponses--;
                            mAccount.release(memoryBytes);
                            mAccount.setUnreadResponses(mUnreadResponses > 0);
                        });
    }

    private static FullHttpResponse response(HttpAnswer answer, boolean last) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(answer.body()));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        answer.headers().forEach((name, value) -> response.headers().set(name, value));
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    void onDisconnected() {
        mServer.removeConnection(this);
        mAccount.close();
        Exchange current = mCurrentExchange;
        mCurrentExchange = null;
        mQueuedExchanges.clear();
        if (current != null) {
            current.onDisconnected();
        }
    }

    /** Lets the connection be read when it is its turn, or others leave enough of the pass. */
    private final class InputBudget implements InputTurns.Budget {

        @Override
        public boolean mayBegin() {
            return mIsReadingDue || mServer.mayRead();
        }

        @Override
        public boolean mayGoOn() {
            return true;
        }

        @Override
        public void onRead(int bytes) {
            mServer.countRead(bytes);
        }
    }

    /** Drops the input that follows a rejected request. */
    private static final class InputDiscarder extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object input) {
            ReferenceCountUtil.release(input);
        }
    }
}
