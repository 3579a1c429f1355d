package org.wagtailproxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Arrays;
import java.util.Map;
import org.wagtailproxy.limits.ClientLoad;
import org.wagtailproxy.limits.ExceededLimit;

/**
 * Assembles requests from their parts and counts the memory that they take up.
 *
 * <p>The library's aggregator keeps a reference to the received buffer for each part of a body, so
 * that small parts take up far more than their size. Here the parts are copied.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {

    /** Objects of a request without its texts. */
    private static final int REQUEST_BYTES = 600;

    /** Objects of a header line without its texts. */
    private static final int HEADER_LINE_BYTES = 120;

    private static final int MIN_BODY_CAPACITY = 512;
    private static final byte[] EMPTY_BODY = {};

    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_TOO_LARGE = 413;
    private static final int STATUS_URI_TOO_LONG = 414;
    private static final int STATUS_HEADERS_TOO_LARGE = 431;
    private static final int STATUS_UNAVAILABLE = 503;

    private final ClientLoad mLoad;
    private final ClientLoad.Account mAccount;
    private final Listener mListener;
    private HttpRequest mRequest;
    private byte[] mBody = EMPTY_BODY;
    private int mBodyLength;
    private long mMemoryBytes;
    private boolean mRejected;

    /** Is notified of requests. */
    interface Listener {

        /** A request has been received completely. The listener releases its memory. */
        void onRequest(ReceivedRequest request);

        /**
         * A request is rejected, and nothing that follows it on the connection is read.
         *
         * @param status the status of the response
         * @param limit the limit that it exceeds, or null if it is malformed
         */
        void onRejected(int status, ExceededLimit limit);

        /** Checks whether all earlier requests have been answered. */
        boolean isIdle();
    }

    RequestAssembler(ClientLoad load, ClientLoad.Account account, Listener listener) {
        mLoad = load;
        mAccount = account;
        mListener = listener;
    }

    /** Stops to accept requests; the rest of the input is ignored. */
    void reject() {
        mRejected = true;
        release();
    }

    /** Checks whether a request has been received in part. */
    boolean hasIncompleteRequest() {
        return mRequest != null;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (mRejected) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            rejectUndecodable(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(context, request);
        }
        if (part instanceof HttpContent content && mRequest != null) {
            append(content.content());
        }
        if (part instanceof LastHttpContent && mRequest != null) {
            complete();
        }
    }

    private void rejectUndecodable(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            reject(STATUS_URI_TOO_LONG, ExceededLimit.HEADER_SIZE);
        } else if (cause instanceof TooLongHttpHeaderException) {
            reject(STATUS_HEADERS_TOO_LARGE, ExceededLimit.HEADER_SIZE);
        } else {
            reject(STATUS_BAD_REQUEST, null);
        }
    }

    private void reject(int status, ExceededLimit limit) {
        reject();
        mListener.onRejected(status, limit);
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        long bytes = REQUEST_BYTES + request.uri().length();
        for (Map.Entry<String, String> line : request.headers()) {
            bytes += HEADER_LINE_BYTES + line.getKey().length() + line.getValue().length();
        }
        if (HttpUtil.getContentLength(request, 0L) > mLoad.limits().maxBodyBytes()) {
            reject(STATUS_TOO_LARGE, ExceededLimit.BODY_SIZE);
            return;
        }
        if (!reserve(bytes)) {
            return;
        }
        mRequest = request;
        if (HttpUtil.is100ContinueExpected(request) && mListener.isIdle()) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void append(ByteBuf part) {
        int length = mBodyLength + part.readableBytes();
        if (length > mLoad.limits().maxBodyBytes()) {
            reject(STATUS_TOO_LARGE, ExceededLimit.BODY_SIZE);
            return;
        }
        if (length > mBody.length) {
            int capacity = capacityFor(length);
            if (!reserve(capacity - mBody.length)) {
                return;
            }
            mBody = Arrays.copyOf(mBody, capacity);
        }
        int partLength = part.readableBytes();
        part.readBytes(mBody, mBodyLength, partLength);
        mBodyLength = length;
    }

    /** Grows with what has been received, since the rest of a body may never come. */
    private int capacityFor(int length) {
        int capacity = Math.max(MIN_BODY_CAPACITY, Math.max(length, 2 * mBody.length));
        long announced = HttpUtil.getContentLength(mRequest, Integer.MAX_VALUE);
        return (int) Math.max(length, Math.min(capacity, announced));
    }

    private boolean reserve(long bytes) {
        if (!mAccount.reserve(bytes)) {
            reject(STATUS_UNAVAILABLE, ExceededLimit.MEMORY);
            return false;
        }
        mMemoryBytes += bytes;
        return true;
    }

    private void complete() {
        byte[] body = mBodyLength == mBody.length ? mBody : Arrays.copyOf(mBody, mBodyLength);
        ReceivedRequest request =
                new ReceivedRequest(
                        mRequest.method().name(),
                        mRequest.uri(),
                        mRequest.headers(),
                        HttpUtil.isKeepAlive(mRequest),
                        body,
                        mMemoryBytes);
        clear();
        mListener.onRequest(request);
    }

    private void release() {
        mAccount.release(mMemoryBytes);
        clear();
    }

    private void clear() {
        mRequest = null;
        mBody = EMPTY_BODY;
        mBodyLength = 0;
        mMemoryBytes = 0;
    }
}
