package org.wagtailproxy.fleet;

/** Describes the result of a start command to a backend server. */
public enum StartResult {
    /** The task was started. */
    STARTED,
    /** Another instance has sent commands with a higher fencing token. */
    FENCED,
    /** This attempt or a later one has been stopped or has ended on the server. */
    SUPERSEDED,
    /** The command arrived after its deadline. */
    TOO_LATE,
    /** The server has insufficient free capacity for the task. */
    NO_ROOM,
    /** The server is not healthy; the command was not executed. */
    UNHEALTHY,
    /** Another incarnation answers at the address; the command was not executed. */
    OTHER_INCARNATION,
    /** The server rejected the command as invalid; it was not executed. */
    REFUSED,
    /** No connection was established, so the command was not sent. */
    NOT_SENT,
    /** No answer was received; the command may have been executed or may still be. */
    UNANSWERED
}
