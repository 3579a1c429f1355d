package org.wagtailproxy.fleet;

import java.util.Objects;
import org.wagtailproxy.workload.TaskId;

/**
 * A run that a backend server lists as ended.
 *
 * @param number the position of the end in the incarnation's list, from 1
 * @param task which task, not null
 * @param attempt which of its starts
 * @param kind how it ended, not null
 * @param checkpoint from where another start can go on, empty if it has to begin anew; not null
 */
public record EndReport(long number, TaskId task, int attempt, EndKind kind, String checkpoint) {

    /** Checks the components. */
    public EndReport {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
