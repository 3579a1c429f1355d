package org.wagtailproxy.fleet;

import java.util.Objects;
import org.wagtailproxy.workload.TaskId;

/**
 * A run that a backend server lists as running.
 *
 * @param task which task, not null
 * @param attempt which of its starts
 * @param percent how far it has come, 0 to 100
 * @param checkpoint from where another start can go on, empty if it has to begin anew; not null
 */
public record RunReport(TaskId task, int attempt, int percent, String checkpoint) {

    /** Checks the components. */
    public RunReport {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
