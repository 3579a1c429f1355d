package org.wagtailproxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/**
 * Limits how much is read of one connection at a time, and tells whether anything is left. A
 * connection is read until nothing is left if that is little, so that its reset is noticed together
 * with the requests before it.
 */
final class InputTurns implements RecvByteBufAllocator {

    /** Bytes after which the turn of a connection ends. */
    static final int TURN_BYTES = 16_384;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    private final RecvByteBufAllocator mSizes =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, TURN_BYTES);
    private final BooleanSupplier mMayRead;
    private final IntConsumer mOnRead;
    private int mTurnBytes;
    private boolean mDrained = true;
    private boolean mDeferred;

    /**
     * Creates the turns of a connection.
     *
     * @param mayRead whether the connection may be read now, not null
     * @param onRead receives the number of bytes of each read, not null
     */
    InputTurns(BooleanSupplier mayRead, IntConsumer onRead) {
        mMayRead = mayRead;
        mOnRead = onRead;
    }

    /** Checks whether the last turn has left nothing to read. */
    boolean isDrained() {
        return mDrained;
    }

    /** Checks whether nothing was read in the last turn since the connection has to wait. */
    boolean isDeferred() {
        return mDeferred;
    }

    @Override
    @SuppressWarnings("deprecation") // The library's channels ask for handles of this type.
    public Handle newHandle() {
        return new TurnHandle(mSizes.newHandle());
    }

    /** Ends a turn by the number of bytes that have been read in it. */
    @SuppressWarnings("deprecation")
    private final class TurnHandle extends DelegatingHandle {

        private TurnHandle(Handle sizes) {
            super(sizes);
        }

        @Override
        public void reset(ChannelConfig config) {
            super.reset(config);
            mTurnBytes = 0;
            mDrained = false;
            mDeferred = !mMayRead.getAsBoolean();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            // A read without space ends the turn before anything is read.
            return mDeferred ? Unpooled.EMPTY_BUFFER : super.allocate(allocator);
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            if (bytes > 0) {
                mTurnBytes += bytes;
                mOnRead.accept(bytes);
            } else {
                mDrained = !mDeferred;
            }
        }

        @Override
        public boolean continueReading() {
            return mTurnBytes < TURN_BYTES;
        }
    }
}
