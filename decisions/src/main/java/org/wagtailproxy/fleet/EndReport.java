package org.wagtailproxy.fleet;

import java.util.Objects;
import org.wagtailproxy.workload.TaskId;

/**
 * Represents a run that a backend server reports as ended.
 *
 * @param number the position of the end in the incarnation's list, from 1
 * @param task the task, not null
 * @param attempt the number of the attempt, from 1
 * @param kind how the run ended, not null
 * @param checkpoint where the next attempt can resume, empty if it has to start from the beginning;
 *     not null
 */
public record EndReport(long number, TaskId task, int attempt, EndKind kind, String checkpoint) {

    /** Checks the components. */
    public EndReport {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
