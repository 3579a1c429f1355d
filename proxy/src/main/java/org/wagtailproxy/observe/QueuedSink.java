package org.wagtailproxy.observe;

import java.io.Closeable;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Queues lines for a thread that writes them, and drops lines instead of blocking the caller when
 * the queue is full.
 *
 * <p>The number of dropped lines is written once the queue is empty again. The thread starts to
 * write after a delay, so that loading the log library does not delay the start of the process.
 */
public final class QueuedSink implements LineSink, Closeable {

    /** Maximum number of queued lines; about two seconds of output of a busy leader. */
    private static final int MAX_QUEUED_LINES = 4096;

    private static final long POLL_MILLIS = 200;

    /** Maximum time for writing the remaining lines at the end of the process. */
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private final BlockingQueue<Line> mLines;
    private final AtomicLong mDropped = new AtomicLong();
    private final SinkFactory mTargetFactory;
    private final Thread mWriter;
    private volatile boolean mClosed;

    /** Creates the sink that lines are written to. */
    public interface SinkFactory {

        /**
         * Creates the sink; called once, on the writing thread.
         *
         * @return the sink, never null
         */
        LineSink create();
    }

    private record Line(Level level, StringMapMessage message, Throwable cause) {}

    private QueuedSink(SinkFactory targetFactory, int maxQueuedLines, long delayMillis) {
        mTargetFactory = targetFactory;
        mLines = new ArrayBlockingQueue<>(maxQueuedLines);
        mWriter = new Thread(() -> writeLines(delayMillis), "log-writer");
        mWriter.setDaemon(true);
        mWriter.start();
    }

    /**
     * Starts a sink that writes to the log library.
     *
     * @param delayMillis the delay before the first line is written, in milliseconds
     * @return the sink, never null
     */
    public static QueuedSink start(long delayMillis) {
        return new QueuedSink(DirectSink::new, MAX_QUEUED_LINES, delayMillis);
    }

    /**
     * Starts a sink in front of another one.
     *
     * @param target the other sink, not null
     * @param maxQueuedLines the maximum number of queued lines, 1 or more
     * @return the sink, never null
     */
    static QueuedSink start(LineSink target, int maxQueuedLines) {
        Objects.requireNonNull(target, "target");
        return new QueuedSink(() -> target, maxQueuedLines, 0);
    }

    @Override
    public void write(Level level, StringMapMessage message, Throwable cause) {
        if (!mLines.offer(new Line(level, message, cause))) {
            mDropped.incrementAndGet();
        }
    }

    /** Writes the queued lines and stops the thread; waits for that a limited time. */
    @Override
    public void close() {
        mClosed = true;
        mWriter.interrupt();
        try {
            mWriter.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeLines(long delayMillis) {
        pause(delayMillis);
        LineSink target = mTargetFactory.create();
        while (!mClosed || !mLines.isEmpty()) {
            Line line = next();
            if (line != null) {
                target.write(line.level(), line.message(), line.cause());
            }
            long dropped = mLines.isEmpty() ? mDropped.getAndSet(0) : 0;
            if (dropped > 0) {
                target.write(Level.WARN, droppedLinesMessage(dropped), null);
            }
        }
    }

    private Line next() {
        try {
            return mClosed ? mLines.poll() : mLines.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException closing) {
            // close() interrupts the wait; the remaining lines are still written.
            return mLines.poll();
        }
    }

    private void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException closing) {
            // close() ends the delay; the queued lines are written now.
            mClosed = true;
        }
    }

    private static StringMapMessage droppedLinesMessage(long dropped) {
        StringMapMessage message = new StringMapMessage(2);
        message.put(EventLog.EVENT, EventName.LINES_DROPPED.externalName());
        message.put(EventField.COUNT.key(), Long.toString(dropped));
        return message;
    }
}
