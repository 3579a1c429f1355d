package org.wagtailproxy.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.limits.ClientLoad;
import org.wagtailproxy.limits.ExceededLimit;

/**
 * Limits the connections of other instances and the memory of their incomplete frames and unread
 * answers. Confined to one event loop, on which all connections are.
 */
final class PeerConnectionLimiter {

    /** Unread answers of a connection above which it is closed; the largest answer fits twice. */
    private static final int MAX_UNREAD_BYTES = 8 * 1024 * 1024;

    private final PeerLimits mLimits;
    private final ClientLoad mLoad;
    private boolean mTickScheduled;

    PeerConnectionLimiter(PeerLimits limits) {
        mLimits = limits;
        mLoad = ClientLoad.of(limits.limits());
    }

    int maxFrameBytes() {
        return mLimits.limits().maxBodyBytes();
    }

    /** Adds the limits to a new connection, or closes it if there are too many. */
    void limit(SocketChannel channel) {
        Option<ClientLoad.Account> account = mLoad.open(limit -> closeBecauseOf(channel, limit));
        if (account.isEmpty()) {
            closeBecauseOf(channel, ExceededLimit.CONNECTIONS);
            return;
        }
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(MAX_UNREAD_BYTES / 2, MAX_UNREAD_BYTES));
        channel.pipeline()
                .addFirst(new InputCounter(account.get()))
                .addLast(new FrameCounter(account.get()));
    }

    private void closeBecauseOf(Channel channel, ExceededLimit limit) {
        mLimits.listener().accept(limit, mLimits.limits().boundOf(limit));
        channel.close();
    }

    private void checkTimeLimits(Channel channel) {
        if (mTickScheduled) {
            return;
        }
        mTickScheduled = true;
        channel.eventLoop()
                .schedule(
                        () -> {
                            mTickScheduled = false;
                            if (mLoad.tick()) {
                                checkTimeLimits(channel);
                            }
                        },
                        ClientLoad.TICK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Releases the bytes of complete frames, and closes a connection that reads no answers. */
    private final class FrameCounter extends ChannelInboundHandlerAdapter {

        private final ClientLoad.Account mAccount;

        private FrameCounter(ClientLoad.Account account) {
            mAccount = account;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            mAccount.release(mAccount.heldBytes());
            mAccount.awaitRequest();
            context.fireChannelRead(frame);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (!context.channel().isWritable()) {
                closeBecauseOf(context.channel(), ExceededLimit.RESPONSE_TIME);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                mLimits.listener().accept(ExceededLimit.FRAME_SIZE, (long) maxFrameBytes());
            }
            context.close();
        }
    }

    /** Counts the bytes of a connection since its last complete frame. */
    private final class InputCounter extends ChannelInboundHandlerAdapter {

        private final ClientLoad.Account mAccount;

        private InputCounter(ClientLoad.Account account) {
            mAccount = account;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object input) {
            if (!mAccount.reserve(((ByteBuf) input).readableBytes())) {
                ((ByteBuf) input).release();
                closeBecauseOf(context.channel(), ExceededLimit.MEMORY);
                return;
            }
            mAccount.awaitBody();
            checkTimeLimits(context.channel());
            context.fireChannelRead(input);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mAccount.close();
            context.fireChannelInactive();
        }
    }
}
