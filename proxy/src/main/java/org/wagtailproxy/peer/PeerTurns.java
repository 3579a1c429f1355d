package org.wagtailproxy.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import org.wagtailproxy.turns.InputTurns;
import org.wagtailproxy.turns.LoopTurns;

/**
 * Reads the connections of the peer port in turn. Something else than an instance may connect to it
 * and send without end. Confined to one event loop, on which all connections are.
 */
final class PeerTurns {

    /**
     * Bytes after which others are read; what one pass has read of each before there were turns.
     */
    private static final int TURN_BYTES = 1_048_576;

    /** Work of a pass; more than the largest fleet sends while an instance is paused briefly. */
    private static final long BYTES_PER_PASS = 4 * TURN_BYTES;

    /** Work on a message, as the bytes that are read in the same time. */
    private static final long MESSAGE_WORK_BYTES = 256;

    private final LoopTurns<TurnTaker> mTurns;

    PeerTurns(EventLoopGroup group) {
        mTurns = LoopTurns.of(group, BYTES_PER_PASS, TurnTaker::takeTurn);
    }

    /** Lets a new connection take turns. Its decoder is in the pipeline already. */
    void add(SocketChannel channel) {
        TurnTaker taker = new TurnTaker(channel);
        channel.config().setRecvByteBufAllocator(taker.mInput);
        channel.pipeline().addLast(taker);
    }

    /** Stops to read a connection that has had its turn until its next one. */
    private final class TurnTaker extends ChannelInboundHandlerAdapter
            implements InputTurns.Budget {

        private final SocketChannel mChannel;
        private final InputTurns mInput =
                new InputTurns(TURN_BYTES, InputTurns.End.PARTIAL_READ, this);
        private boolean mAwaitsTurn;
        private boolean mIsReadingDue;

        private TurnTaker(SocketChannel channel) {
            mChannel = channel;
        }

        private void takeTurn() {
            mAwaitsTurn = false;
            if (mChannel.isActive()) {
                mIsReadingDue = true;
                ((AbstractNioChannel.NioUnsafe) mChannel.unsafe()).read();
                mIsReadingDue = false;
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mTurns.spend(MESSAGE_WORK_BYTES);
            context.fireChannelRead(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!mInput.isDrained()) {
                awaitTurn();
            } else if (!mChannel.config().isAutoRead()) {
                mChannel.config().setAutoRead(true);
            }
            context.fireChannelReadComplete();
        }

        private void awaitTurn() {
            mChannel.config().setAutoRead(false);
            if (!mAwaitsTurn) {
                mAwaitsTurn = true;
                mTurns.add(this, mInput.isDeferred());
            }
        }

        @Override
        public boolean mayBegin() {
            return mIsReadingDue || mTurns.hasBudgetForArrivals();
        }

        @Override
        public boolean mayGoOn() {
            return mTurns.hasBudget();
        }

        @Override
        public void onRead(int bytes) {
            mTurns.spend(bytes);
        }
    }
}
