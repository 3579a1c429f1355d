package org.wagtailproxy.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.ReferenceCountUtil;
import org.wagtailproxy.wire.Envelope;

/**
 * Decodes length-prefixed frames into envelopes, encodes envelopes into frames, and counts their
 * bytes. Closes the connection on a frame that cannot be decoded.
 */
final class FrameCodec extends ChannelDuplexHandler {

    private static final int LENGTH_BYTES = 4;

    /** Maximum size of a frame unless the limits of an instance set another one. */
    static final int MAX_FRAME_BYTES = 32 * 1024 * 1024;

    private final ByteCounter mByteCounter;

    private FrameCodec(ByteCounter byteCounter) {
        mByteCounter = byteCounter;
    }

    static void install(ChannelPipeline pipeline, int maxFrameBytes, ByteCounter byteCounter) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new FrameCodec(byteCounter));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf frame = (ByteBuf) message;
        try {
            int bytes = frame.readableBytes() + LENGTH_BYTES;
            Envelope envelope = Envelope.parseFrom(frame.nioBuffer());
            count("received", envelope, bytes);
            context.fireChannelRead(envelope);
        } catch (InvalidProtocolBufferException malformed) {
            context.close();
        } finally {
            ReferenceCountUtil.release(frame);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        Envelope envelope = (Envelope) message;
        byte[] bytes = envelope.toByteArray();
        count("sent", envelope, bytes.length + LENGTH_BYTES);
        context.write(context.alloc().buffer(bytes.length).writeBytes(bytes), promise);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.fireExceptionCaught(cause);
        context.close();
    }

    private void count(String direction, Envelope envelope, int bytes) {
        mByteCounter.peerBytes(direction, bytes);
        boolean control =
                switch (envelope.getBodyCase()) {
                    case HEARTBEAT, VIEW_PULL, VIEW, PRESENCE -> true;
                    default -> false;
                };
        if (control) {
            mByteCounter.controlBytes(direction, bytes);
        }
    }
}
