package org.wagtailproxy.job;

import java.util.Objects;

/**
 * Represents one entry of the trace of a task.
 *
 * @param atMilliseconds milliseconds since the job was accepted
 * @param kind what happened, not null
 * @param backendServer the backend server concerned, empty if none
 * @param reason the reason, empty if there is none
 */
public record TaskEvent(long atMilliseconds, Kind kind, String backendServer, String reason) {

    /** Specifies the kind of an event. */
    public enum Kind {
        /** The job was accepted. */
        ACCEPTED,
        /** The task was sent. */
        SENT,
        /** The backend server did not run the task; it is queued again. */
        QUEUED_AGAIN,
        /** The task was answered. */
        ANSWERED,
        /** The task ended without an answer. */
        ENDED
    }

    /** Validates the components. */
    public TaskEvent {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(backendServer, "backendServer");
        Objects.requireNonNull(reason, "reason");
    }

    /**
     * Creates an event.
     *
     * @param atMilliseconds milliseconds since the job was accepted
     * @param kind what happened, not null
     * @param backendServer the backend server, empty if none
     * @param reason the reason, empty if there is none
     * @return the event, never null
     */
    public static TaskEvent of(
            long atMilliseconds, Kind kind, String backendServer, String reason) {
        return new TaskEvent(atMilliseconds, kind, backendServer, reason);
    }
}
