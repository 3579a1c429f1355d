package org.wagtailproxy.session;

import java.time.Duration;
import java.util.Objects;

/**
 * Decides which session windows of an incarnation accept new job names and which are remembered.
 *
 * <p>A window stops accepting names before it is forgotten, so that a job cannot be started a
 * second time under a name that was forgotten.
 */
public final class SessionWindows {

    /** Number of windows in which a token can be used for new names, including the current one. */
    public static final long ACCEPTING_WINDOWS = 2;

    private final long mStartNanos;
    private final long mLengthNanos;
    private final long mRetainedWindows;

    private SessionWindows(long startNanos, long lengthNanos, long retainedWindows) {
        mStartNanos = startNanos;
        mLengthNanos = lengthNanos;
        mRetainedWindows = retainedWindows;
    }

    /**
     * Creates the windows of an incarnation.
     *
     * @param startNanos the monotonic time of the first window's start in nanoseconds
     * @param length the length of a window, at least one millisecond
     * @param retainedWindows the number of windows that are remembered, more than {@link
     *     #ACCEPTING_WINDOWS}
     * @return the windows, never null
     * @throws IllegalArgumentException if a value is out of range
     */
    public static SessionWindows of(long startNanos, Duration length, long retainedWindows) {
        Objects.requireNonNull(length, "length");
        if (length.toMillis() < 1 || retainedWindows <= ACCEPTING_WINDOWS) {
            throw new IllegalArgumentException("window too short or too few retained");
        }
        return new SessionWindows(startNanos, length.toNanos(), retainedWindows);
    }

    /**
     * Returns the window at a given time.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the number of the window, from 0
     */
    public long currentWindow(long nowNanos) {
        return Math.max(0, (nowNanos - mStartNanos) / mLengthNanos);
    }

    /**
     * Returns the state of a window.
     *
     * @param window the number of the window
     * @param nowNanos the monotonic time in nanoseconds
     * @return the state, never null
     */
    public WindowState state(long window, long nowNanos) {
        long currentWindow = currentWindow(nowNanos);
        if (window > currentWindow) {
            return WindowState.NEVER_ISSUED;
        }
        if (window > currentWindow - ACCEPTING_WINDOWS) {
            return WindowState.ACCEPTING;
        }
        return window > currentWindow - mRetainedWindows
                ? WindowState.CLOSED
                : WindowState.FORGOTTEN;
    }

    /**
     * Returns the age of the incarnation.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return nanoseconds since the start of its first window
     */
    public long ageNanos(long nowNanos) {
        return nowNanos - mStartNanos;
    }

    /**
     * Checks whether every window issued up to a given one is forgotten.
     *
     * @param lastIssued the number of the last window issued
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if no window of the incarnation is remembered any more
     */
    public boolean allForgotten(long lastIssued, long nowNanos) {
        return state(lastIssued, nowNanos) == WindowState.FORGOTTEN;
    }
}
