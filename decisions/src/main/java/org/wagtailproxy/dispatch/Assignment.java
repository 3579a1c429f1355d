package org.wagtailproxy.dispatch;

import java.util.Objects;

/**
 * A task and the backend server that it is to be sent to.
 *
 * @param task the task, not null
 * @param backendServer the backend server, not null
 */
public record Assignment(QueuedTask task, BackendServerId backendServer) {

    /** Validates the components. */
    public Assignment {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(backendServer, "runner");
    }

    /**
     * Creates an assignment.
     *
     * @param task the task, not null
     * @param runner the backend server, not null
     * @return the assignment, never null
     */
    public static Assignment of(QueuedTask task, BackendServerId runner) {
        return new Assignment(task, runner);
    }
}
