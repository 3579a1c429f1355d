package org.wagtailproxy.fleet;

/** Describes the result of a stop command to a backend server. */
public enum StopResult {
    /** The attempt does not run on the server any more and cannot start there later. */
    ACKNOWLEDGED,
    /** Another instance has sent commands with a higher fencing token. */
    FENCED,
    /** Another incarnation answers at the address; no earlier run continues on it. */
    OTHER_INCARNATION,
    /** No acknowledgement was received. */
    UNANSWERED
}
