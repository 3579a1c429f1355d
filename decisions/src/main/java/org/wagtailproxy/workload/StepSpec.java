package org.wagtailproxy.workload;

import java.util.List;
import java.util.Objects;

/**
 * Specifies a step of a job, which consists of tasks of the same kind.
 *
 * @param tasks number of tasks, 1 or more
 * @param demand the resources that each task requires, not null
 * @param estimateMillis the run time of a task in milliseconds as roughly estimated by the caller,
 *     1 or more
 * @param after positions of the steps that must be done before this step starts, not null
 * @param label a label that the backend server must have, empty if any server is suitable
 * @param rack the rack where the data of the tasks is, empty if there is none
 * @param maxTasksPerServer maximum number of tasks of the step on one backend server, 0 for no
 *     limit
 */
public record StepSpec(
        int tasks,
        ResourceAmount demand,
        long estimateMillis,
        List<Integer> after,
        String label,
        String rack,
        int maxTasksPerServer) {

    /** Validates the components. */
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
     * Creates a step that has no dependencies and may run on any backend server.
     *
     * @param tasks number of tasks, 1 or more
     * @param demand the resources that each task requires, not null
     * @param estimateMillis the estimated run time of a task in milliseconds, 1 or more
     * @return the step, never null
     */
    public static StepSpec of(int tasks, ResourceAmount demand, long estimateMillis) {
        return new StepSpec(tasks, demand, estimateMillis, List.of(), "", "", 0);
    }
}
