package org.wagtailproxy.turns;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import java.util.Objects;
import java.util.function.Consumer;
import org.wagtailproxy.limits.ConnectionTurns;

/**
 * Gives connections their turns on an event loop. A pass ends when the loop has run its tasks; it
 * attends to its other connections before the next one. Confined to the event loop.
 *
 * @param <T> the type of the connections
 */
public final class LoopTurns<T> {

    private final SingleThreadEventLoop mLoop;
    private final ConnectionTurns<T> mTurns;
    private final Consumer<T> mServe;
    private boolean mTurnsScheduled;
    private boolean mPassEndScheduled;

    private LoopTurns(SingleThreadEventLoop loop, ConnectionTurns<T> turns, Consumer<T> serve) {
        mLoop = loop;
        mTurns = turns;
        mServe = serve;
    }

    /**
     * Creates turns without connections.
     *
     * @param group the event loop group, of one thread; not null
     * @param bytesPerPass the bytes after which a pass ends, at least 1
     * @param serve serves a connection whose turn it is, not null
     * @param <T> the type of the connections
     * @return the turns, never null
     */
    public static <T> LoopTurns<T> of(EventLoopGroup group, long bytesPerPass, Consumer<T> serve) {
        Objects.requireNonNull(serve, "serve");
        SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
        return new LoopTurns<>(loop, ConnectionTurns.of(bytesPerPass), serve);
    }

    /**
     * Adds a connection that waits for its next turn. The caller adds it only once.
     *
     * @param connection the connection, not null
     * @param newcomer whether it has not waited since it last had nothing to do
     */
    public void add(T connection, boolean newcomer) {
        mTurns.add(connection, newcomer);
        scheduleTurns();
    }

    /**
     * Counts work of this pass.
     *
     * @param bytes the work, as the number of bytes that are read in the same time
     */
    public void spend(long bytes) {
        mTurns.spend(bytes);
        if (!mPassEndScheduled) {
            mPassEndScheduled = true;
            mLoop.executeAfterEventLoopIteration(this::endPass);
        }
    }

    /**
     * Checks whether a connection may be served further in this pass.
     *
     * @return false if the budget is spent
     */
    public boolean hasBudget() {
        return mTurns.hasBudget();
    }

    /**
     * Checks whether a connection may be served in this pass that has not waited for its turn.
     *
     * @return false if the connection has to be added
     */
    public boolean hasBudgetForArrivals() {
        return mTurns.hasBudgetForArrivals();
    }

    private void scheduleTurns() {
        if (!mTurnsScheduled) {
            mTurnsScheduled = true;
            mLoop.execute(this::takeTurns);
        }
    }

    private void takeTurns() {
        try {
            while (mTurns.hasBudget() && !mTurns.isEmpty()) {
                mServe.accept(mTurns.next());
            }
        } finally {
            // A defect ends this task, but not the turns of other connections.
            mTurnsScheduled = false;
            if (mTurns.hasBudget() && !mTurns.isEmpty()) {
                scheduleTurns();
            }
        }
    }

    private void endPass() {
        mPassEndScheduled = false;
        mTurns.startPass();
        if (!mTurns.isEmpty()) {
            scheduleTurns();
        }
    }
}
