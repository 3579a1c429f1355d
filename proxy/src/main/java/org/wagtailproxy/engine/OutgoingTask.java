package org.wagtailproxy.engine;

import java.util.Objects;

/**
 * What is sent for a task that has just been started.
 *
 * @param name the name of the task, unique for all time, not null
 * @param payload the payload, not null
 */
public record OutgoingTask(String name, String payload) {

    /** Checks the components. */
    public OutgoingTask {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(payload, "payload");
    }
}
