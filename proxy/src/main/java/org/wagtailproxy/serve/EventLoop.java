package org.wagtailproxy.serve;

/** The one thread on which the dispatcher's network input and timers run. */
public interface EventLoop {

    /**
     * Runs work on the loop after a pause.
     *
     * @param millis the pause in milliseconds
     * @param work the work, not null
     */
    void schedule(long millis, Runnable work);

    /**
     * Runs work on the loop as soon as possible.
     *
     * @param work the work, not null
     */
    void execute(Runnable work);

    /**
     * Returns the monotonic time.
     *
     * @return the time in nanoseconds
     */
    long nowNanos();

    /**
     * Returns the time of day, which may jump. Only its lead over the monotonic time tells
     * anything, namely that the machine may have been suspended.
     *
     * @return the time in milliseconds since 1970
     */
    long wallClockMillis();
}
