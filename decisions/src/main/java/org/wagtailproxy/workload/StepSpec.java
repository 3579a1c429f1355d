package org.wagtailproxy.workload;

import java.util.List;
import java.util.Objects;

/**
 * A step of a job: tasks of the same kind.
 *
 * @param tasks number of tasks, 1 or more
 * @param demand what each task takes up, not null
 * @param estimateMillis the caller's rough estimate of a task's run time in milliseconds, 1 or more
 * @param after positions of the steps that have to be done before, not null
 * @param label a label that the backend server must carry, empty if any will do
 * @param rack the rack that holds the data, empty if there is none
 * @param maxTasksPerServer how many tasks of the step may run on one backend server, 0 for any
 *     number
 */
public record StepSpec(
        int tasks,
        ResourceAmount demand,
        long estimateMillis,
        List<Integer> after,
        String label,
        String rack,
        int maxTasksPerServer) {

    /** Checks the components. */
    public StepSpec {
        if (tasks < 1 || estimateMillis < 1) {
            throw new IllegalArgumentException("tasks and estimateMillis must be positive");
        }
        Objects.requireNonNull(demand, "demand");
        Objects.requireNonNull(label, "label");
        Objects.requireNonNull(rack, "rack");
        after = List.copyOf(after);
    }

    /**
     * Creates a step that depends on nothing and runs anywhere.
     *
     * @param tasks number of tasks, 1 or more
     * @param demand what each task takes up, not null
     * @param estimateMillis the estimated run time of a task in milliseconds, 1 or more
     * @return the step, never null
     */
    public static StepSpec of(int tasks, ResourceAmount demand, long estimateMillis) {
        return new StepSpec(tasks, demand, estimateMillis, List.of(), "", "", 0);
    }
}
