package org.wagtailproxy.fleet;

import java.util.Objects;
import org.wagtailproxy.workload.TaskId;

/**
 * Represents a run that a backend server reports as running.
 *
 * @param task the task, not null
 * @param attempt the number of the attempt, from 1
 * @param percent the progress, 0 to 100
 * @param checkpoint where the next attempt can resume, empty if it has to start from the beginning;
 *     not null
 */
public record RunReport(TaskId task, int attempt, int percent, String checkpoint) {

    /** Checks the components. */
    public RunReport {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
