package org.wagtailproxy.job;

import java.util.Objects;
import org.wagtailproxy.identity.Names;

/**
 * Represents one task as submitted.
 *
 * @param key the key of the task, unique within its job
 * @param payload the text passed to the backend server, not null
 * @param declaredMilliseconds the run time that the caller declares, 1 or more
 */
public record TaskSpec(String key, String payload, long declaredMilliseconds) {

    /** Run time assumed for a task that declares none, in milliseconds. */
    public static final long DEFAULT_DECLARED_MILLISECONDS = 100;

    /** Validates the components. */
    public TaskSpec {
        Names.checkName(key);
        Objects.requireNonNull(payload, "payload");
        if (declaredMilliseconds < 1) {
            throw new IllegalArgumentException("declaredMilliseconds is below 1");
        }
    }

    /**
     * Creates a task.
     *
     * @param key the key, a valid name
     * @param payload the payload, not null
     * @param declaredMilliseconds the declared run time in milliseconds, 1 or more
     * @return the task, never null
     */
    public static TaskSpec of(String key, String payload, long declaredMilliseconds) {
        return new TaskSpec(key, payload, declaredMilliseconds);
    }
}
