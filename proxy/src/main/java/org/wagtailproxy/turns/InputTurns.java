package org.wagtailproxy.turns;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.Objects;

/** Limits how much is read of one connection at a time, and tells whether anything is left. */
public final class InputTurns implements RecvByteBufAllocator {

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    /** The largest read of the library by default. */
    private static final int MAX_READ_BYTES = 65_536;

    private final int mMaxTurnBytes;
    private final End mEnd;
    private final RecvByteBufAllocator mSizes;
    private final Budget mBudget;
    private int mNextTurnLimit;
    private int mTurnLimit;
    private int mTurnBytes;
    private boolean mDrained = true;
    private boolean mDeferred;

    /** What shows that nothing is left to read. */
    public enum End {
        /** A read that does not fill its buffer. */
        PARTIAL_READ,
        /**
         * A read that gets nothing. It shows also that the connection has been reset, together with
         * the input before that.
         */
        EMPTY_READ
    }

    /** Decides whether a connection is read. */
    public interface Budget {

        /**
         * Checks whether a turn may begin.
         *
         * @return false if the connection has to wait
         */
        boolean mayBegin();

        /**
         * Checks whether a turn may go on that has not read as much as it may.
         *
         * @return false if it has to end
         */
        boolean mayGoOn();

        /**
         * Is called after each read.
         *
         * @param bytes the number of bytes, above 0
         */
        void onRead(int bytes);
    }

    /**
     * Creates the turns of a connection.
     *
     * @param maxTurnBytes the bytes after which a turn ends, at least 64
     * @param end what shows that nothing is left, not null
     * @param budget decides when the connection is read, not null
     */
    public InputTurns(int maxTurnBytes, End end, Budget budget) {
        int maxReadBytes = Math.min(maxTurnBytes, MAX_READ_BYTES);
        mMaxTurnBytes = maxTurnBytes;
        mNextTurnLimit = maxTurnBytes;
        mTurnLimit = maxTurnBytes;
        mEnd = Objects.requireNonNull(end, "end");
        mSizes =
                new AdaptiveRecvByteBufAllocator(
                        MIN_READ_BYTES, Math.min(FIRST_READ_BYTES, maxReadBytes), maxReadBytes);
        mBudget = Objects.requireNonNull(budget, "budget");
    }

    /**
     * Limits the next turn only.
     *
     * @param bytes the bytes that are read at most, at least 1
     */
    public void limitNextTurn(int bytes) {
        mNextTurnLimit = Math.min(bytes, mMaxTurnBytes);
    }

    /**
     * Checks whether the last turn has left nothing to read.
     *
     * @return false if something may be left
     */
    public boolean isDrained() {
        return mDrained;
    }

    /**
     * Checks whether nothing was read in the last turn since the connection has to wait.
     *
     * @return true if the turn could not begin
     */
    public boolean isDeferred() {
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
            mTurnLimit = mNextTurnLimit;
            mNextTurnLimit = mMaxTurnBytes;
            mDrained = false;
            mDeferred = !mBudget.mayBegin();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            // A read without space ends the turn before anything is read.
            if (mDeferred) {
                return Unpooled.EMPTY_BUFFER;
            }
            return mTurnLimit == mMaxTurnBytes
                    ? super.allocate(allocator)
                    : allocator.ioBuffer(Math.min(guess(), mTurnLimit - mTurnBytes));
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            if (bytes > 0) {
                mTurnBytes += bytes;
                mDrained = mEnd == End.PARTIAL_READ && bytes < attemptedBytesRead();
                mBudget.onRead(bytes);
            } else {
                mDrained = !mDeferred;
            }
        }

        @Override
        public boolean continueReading() {
            return !mDrained && mTurnBytes < mTurnLimit && mBudget.mayGoOn();
        }
    }
}
