package org.wagtailproxy.fleet;

/** Describes how a run of a task ended, as its backend server reports it. */
public enum EndKind {
    /** The task is done. */
    DONE,
    /** The task failed through its own fault or that of the backend server. */
    FAILED,
    /** The run was ended by a stop command. */
    STOPPED,
    /** The lease expired. */
    LAPSED,
    /** The run ended for another reason that is not the task's fault. */
    INTERRUPTED
}
