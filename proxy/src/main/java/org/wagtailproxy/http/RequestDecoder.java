package org.wagtailproxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import org.wagtailproxy.limits.ClientLimits;

/** Decodes requests, and tells whether one has been received in part. */
final class RequestDecoder extends HttpRequestDecoder {

    private boolean mInHeader;
    private long mReceivedBytes;

    RequestDecoder(ClientLimits limits, HttpHeadersFactory headersFactory) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(limits.maxHeaderBytes())
                        .setMaxHeaderSize(limits.maxHeaderBytes())
                        .setHeadersFactory(headersFactory)
                        .setTrailersFactory(headersFactory));
    }

    /** Checks whether there is input that does not belong to a decoded part of a request. */
    boolean hasPartialInput() {
        return mInHeader || actualReadableBytes() > 0;
    }

    /** Returns the size of the input that has been decoded since the last call. */
    long takeReceivedBytes() {
        long bytes = mReceivedBytes;
        mReceivedBytes = 0;
        return bytes;
    }

    /** Differs from the library's in that it asks for no input; the server decides who is read. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        discardSomeReadBytes();
        context.fireChannelReadComplete();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
            throws Exception {
        int inputBytes = input.readableBytes();
        int outputSize = output.size();
        super.decode(context, input, output);
        mReceivedBytes += inputBytes - input.readableBytes();
        if (output.size() > outputSize) {
            mInHeader = false;
        } else if (input.readableBytes() < inputBytes) {
            mInHeader = true;
        }
    }
}
