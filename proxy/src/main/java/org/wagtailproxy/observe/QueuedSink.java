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
 * Queues lines for a thread that writes them, and drops lines rather than wait.
 *
 * <p>How many were dropped is written once there is room again. The thread starts to write after a
 * pause, so that the loading of the log library does not delay the start of the process.
 */
public final class QueuedSink implements LineSink, Closeable {

    /** Lines that may wait; about two seconds of a busy leader's lines. */
    private static final int MAX_QUEUED_LINES = 4096;

    private static final long POLL_MILLIS = 200;

    /** Time in which the last lines are written at the end of the process. */
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private final BlockingQueue<Line> mLines;
    private final AtomicLong mDropped = new AtomicLong();
    private final SinkFactory mTargetFactory;
    private final Thread mWriter;
    private volatile boolean mClosed;

    /** Gives the sink that lines are written to; called on the writing thread. */
    public interface SinkFactory {

        /**
         * Opens the sink.
         *
         * @return the sink, never null
         */
        LineSink create();
    }

    private record Line(Level level, StringMapMessage message, Throwable cause) {}

    private QueuedSink(SinkFactory target, int mostWaiting, long pauseMillis) {
        mTargetFactory = target;
        mLines = new ArrayBlockingQueue<>(mostWaiting);
        mWriter = new Thread(() -> writeLines(pauseMillis), "log-writer");
        mWriter.setDaemon(true);
        mWriter.start();
    }

    /**
     * Starts a sink that writes by the log library.
     *
     * @param pauseMillis the pause before the first line is written, in milliseconds
     * @return the sink, never null
     */
    public static QueuedSink start(long pauseMillis) {
        return new QueuedSink(DirectSink::new, MAX_QUEUED_LINES, pauseMillis);
    }

    /**
     * Starts a sink in front of another one.
     *
     * @param target the other sink, not null
     * @param mostWaiting how many lines may wait, 1 or more
     * @return the sink, never null
     */
    static QueuedSink start(LineSink target, int mostWaiting) {
        Objects.requireNonNull(target, "target");
        return new QueuedSink(() -> target, mostWaiting, 0);
    }

    @Override
    public void write(Level level, StringMapMessage message, Throwable cause) {
        if (!mLines.offer(new Line(level, message, cause))) {
            mDropped.incrementAndGet();
        }
    }

    /** Waits a short time until all lines are written. */
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

    private void writeLines(long pauseMillis) {
        pause(pauseMillis);
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
            // close() interrupts the wait; the lines that are left are still written.
            return mLines.poll();
        }
    }

    private void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException closing) {
            // close() ends the pause; the lines that wait are written now.
            mClosed = true;
        }
    }

    private static StringMapMessage droppedLinesMessage(long dropped) {
        StringMapMessage message = new StringMapMessage(2);
        message.put(EventLog.EVENT, EventName.LINES_DROPPED.word());
        message.put(EventField.COUNT.key(), Long.toString(dropped));
        return message;
    }
}
