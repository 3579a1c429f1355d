package org.wagtailproxy.scheduling;

/** Describes how a run on a backend server ended, as recorded when it is no longer tracked. */
public enum RunEnd {
    /** The task is done. */
    DONE,
    /** The task failed through its own fault or that of the backend server. */
    FAILED,
    /** Ended by a stop command, an expired lease or a lost server; the task no longer runs. */
    INTERRUPTED,
    /** The task did not start. */
    NOT_STARTED,
    /** The task did not start, because the backend server knows this attempt or a later one. */
    ATTEMPT_TOO_LOW
}
