package org.wagtailproxy.dispatch;

import java.util.Objects;

/**
 * Represents a task and the backend server to which it is to be sent.
 *
 * @param task the task, not null
 * @param backendServer the backend server, not null
 */
public record Assignment(QueuedTask task, BackendServerId backendServer) {

    /** Validates the components. */
    public Assignment {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(backendServer, "backendServer");
    }

    /**
     * Creates an assignment.
     *
     * @param task the task, not null
     * @param backendServer the backend server, not null
     * @return the assignment, never null
     */
    public static Assignment of(QueuedTask task, BackendServerId backendServer) {
        return new Assignment(task, backendServer);
    }
}
