package org.wagtailproxy.serve;

import io.netty.channel.EventLoopGroup;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;

/** Implements {@link EventLoop} on a thread of Netty. */
public final class NettyEventLoop implements EventLoop {

    private final io.netty.channel.EventLoop mLoop;

    private NettyEventLoop(io.netty.channel.EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Creates an event loop on the thread of a group.
     *
     * @param group a group with one thread, not null
     * @return the loop, never null
     */
    public static NettyEventLoop of(EventLoopGroup group) {
        Objects.requireNonNull(group, "group");
        return new NettyEventLoop((io.netty.channel.EventLoop) group.next());
    }

    @Override
    public void schedule(long millis, Runnable work) {
        mLoop.schedule(() -> runAndLogFailure(work), millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void execute(Runnable work) {
        if (mLoop.inEventLoop()) {
            runAndLogFailure(work);
        } else {
            mLoop.execute(() -> runAndLogFailure(work));
        }
    }

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public long wallClockMillis() {
        return System.currentTimeMillis();
    }

    /** Runs work and logs a defect, which must not end the loop or a chain of timers. */
    private static void runAndLogFailure(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException defect) {
            LogManager.getLogger("wagtailproxy").error("defect", defect);
        }
    }
}
