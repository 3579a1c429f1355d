package org.wagtailproxy.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Decides which connections are served in one pass of an event loop, and when the loop turns to its
 * other work.
 *
 * <p>Designed for clients that send without end beside ordinary callers. Each connection waits for
 * at most one turn at a time, so that a client gains nothing by sending more. Connections that had
 * nothing to wait for before get half of the work while others wait, and come first; since their
 * turns are short, most of them wait behind few of the others. A pass ends when its budget is
 * spent. Not thread-safe.
 *
 * @param <T> the type of the connections
 */
public final class ConnectionTurns<T> {

    private final Deque<T> mNewcomers = new ArrayDeque<>();
    private final Deque<T> mOthers = new ArrayDeque<>();
    private final long mBytesPerPass;
    private long mSpentBytes;

    /** The work on the others beyond that on newcomers, as the bytes read in the same time. */
    private long mOthersLeadBytes;

    private Turn mTurn = Turn.NONE;

    private enum Turn {
        NONE,
        NEWCOMER,
        OTHER
    }

    private ConnectionTurns(long bytesPerPass) {
        mBytesPerPass = bytesPerPass;
    }

    /**
     * Creates turns without connections.
     *
     * @param bytesPerPass the bytes after which a pass ends, at least 1
     * @param <T> the type of the connections
     * @return the turns, never null
     */
    public static <T> ConnectionTurns<T> of(long bytesPerPass) {
        if (bytesPerPass < 1) {
            throw new IllegalArgumentException("a pass needs at least 1 byte: " + bytesPerPass);
        }
        return new ConnectionTurns<>(bytesPerPass);
    }

    /**
     * Adds a connection that waits for its next turn. The caller adds it only once.
     *
     * @param connection the connection, not null
     * @param newcomer whether it has not waited since it last had nothing to do
     */
    public void add(T connection, boolean newcomer) {
        Deque<T> queue = newcomer ? mNewcomers : mOthers;
        queue.add(Objects.requireNonNull(connection, "connection"));
    }

    /**
     * Checks whether no connection waits.
     *
     * @return true if there is none
     */
    public boolean isEmpty() {
        return mNewcomers.isEmpty() && mOthers.isEmpty();
    }

    /**
     * Checks whether a connection may be served in this pass.
     *
     * @return false if the budget is spent
     */
    public boolean hasBudget() {
        return mSpentBytes < mBytesPerPass;
    }

    /**
     * Checks whether a connection may be served in this pass that has not waited for its turn. Half
     * of the budget is left to those that have.
     *
     * @return false if the connection has to be added
     */
    public boolean hasBudgetForArrivals() {
        return mSpentBytes < (mBytesPerPass + 1) / 2;
    }

    /**
     * Counts work of this pass.
     *
     * @param bytes the work, as the number of bytes that are read in the same time
     */
    public void spend(long bytes) {
        mSpentBytes += bytes;
        countForTurn(bytes);
    }

    private void countForTurn(long bytes) {
        if (mTurn == Turn.OTHER) {
            mOthersLeadBytes += bytes;
        } else if (mTurn == Turn.NEWCOMER) {
            mOthersLeadBytes -= bytes;
        }
    }

    /** Starts the next pass with its whole budget. */
    public void startPass() {
        mSpentBytes = 0;
        mTurn = Turn.NONE;
    }

    /**
     * Removes the connection whose turn it is.
     *
     * @return the connection
     * @throws java.util.NoSuchElementException if no connection waits
     */
    public T next() {
        if (mOthers.isEmpty()) {
            mOthersLeadBytes = 0;
        } else if (mNewcomers.isEmpty()) {
            mOthersLeadBytes = Math.min(mOthersLeadBytes, 0);
        }
        boolean takesOther = mNewcomers.isEmpty() || (!mOthers.isEmpty() && mOthersLeadBytes < 0);
        mTurn = takesOther ? Turn.OTHER : Turn.NEWCOMER;
        // A turn in which nothing is read counts, too.
        countForTurn(1);
        return takesOther ? mOthers.remove() : mNewcomers.remove();
    }
}
