package org.wagtailproxy.dispatch;

import java.util.Locale;

/** What came of sending a task to a backend server. */
public enum SendResult {
    /** A whole answer arrived. */
    ANSWERED,
    /** The backend server refused for lack of a slot and did not run the task. */
    REFUSED,
    /** No connection came about, so that the task was not run. */
    NOT_CONNECTED,
    /** The backend server reported a failure. */
    FAILED,
    /** The task was sent and nothing certain came back. */
    UNKNOWN;

    /**
     * Checks whether the task provably was not run.
     *
     * @return true if it may be sent to another backend server
     */
    public boolean isProvablyNotRun() {
        return this == REFUSED || this == NOT_CONNECTED;
    }

    /**
     * Returns the word used in traces.
     *
     * @return the lower-case word with hyphens, never null
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
