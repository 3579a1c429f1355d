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
 * nothing to wait for before come first, every second time. A pass ends when its budget is spent.
 * Not thread-safe.
 *
 * @param <T> the type of the connections
 */
public final class ConnectionTurns<T> {

    private final Deque<T> mNewcomers = new ArrayDeque<>();
    private final Deque<T> mOthers = new ArrayDeque<>();
    private final long mBytesPerPass;
    private long mSpentBytes;
    private boolean mIsOthersTurn;

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
    }

    /** Starts the next pass with its whole budget. */
    public void startPass() {
        mSpentBytes = 0;
    }

    /**
     * Removes the connection whose turn it is.
     *
     * @return the connection
     * @throws java.util.NoSuchElementException if no connection waits
     */
    public T next() {
        boolean takesOther = mNewcomers.isEmpty() || (mIsOthersTurn && !mOthers.isEmpty());
        mIsOthersTurn = !takesOther;
        return takesOther ? mOthers.remove() : mNewcomers.remove();
    }
}
