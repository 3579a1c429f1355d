package org.wagtailproxy.dispatch;

import java.util.Locale;

/** Specifies the result of sending a task to a backend server. */
public enum SendResult {
    /** A complete answer was received. */
    ANSWERED,
    /** The backend server refused the task for lack of a free slot and did not run it. */
    REFUSED,
    /** No connection could be established, so the task was not run. */
    NOT_CONNECTED,
    /** The backend server reported a failure. */
    FAILED,
    /** The task was sent, but whether it was run is not known. */
    UNKNOWN;

    /**
     * Checks whether it is certain that the task was not run.
     *
     * @return true if it may be sent to another backend server
     */
    public boolean isProvablyNotRun() {
        return this == REFUSED || this == NOT_CONNECTED;
    }

    /**
     * Returns the name used in traces and metrics.
     *
     * @return the lower-case name with hyphens, never null
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
