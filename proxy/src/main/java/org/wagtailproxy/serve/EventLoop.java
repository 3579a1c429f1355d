package org.wagtailproxy.serve;

/** Runs the network input and the timers of the dispatcher on a single thread. */
public interface EventLoop {

    /**
     * Runs work on the thread of the loop after a delay.
     *
     * @param millis the delay in milliseconds
     * @param work the work, not null
     */
    void schedule(long millis, Runnable work);

    /**
     * Runs work on the thread of the loop as soon as possible.
     *
     * @param work the work, not null
     */
    void execute(Runnable work);

    /**
     * Returns the current monotonic time.
     *
     * @return the time in nanoseconds
     */
    long nowNanos();

    /**
     * Returns the time of day, which may jump.
     *
     * <p>Only its advance relative to the monotonic time is meaningful: it indicates that the
     * machine may have been suspended.
     *
     * @return the time in milliseconds since 1970
     */
    long wallClockMillis();
}
