package org.wagtailproxy.workload;

import java.util.Objects;

/**
 * Identifies a task of a job.
 *
 * @param job the job, not null
 * @param step the position of its step, from 0
 * @param index its position in the step, from 0
 */
public record TaskId(JobId job, int step, int index) {

    /** Validates the components. */
    public TaskId {
        Objects.requireNonNull(job, "job");
        if (step < 0 || index < 0) {
            throw new IllegalArgumentException("step and index must not be negative");
        }
    }

    /**
     * Creates an id.
     *
     * @param job the job, not null
     * @param step the position of its step, from 0
     * @param index its position in the step, from 0
     * @return the id, never null
     */
    public static TaskId of(JobId job, int step, int index) {
        return new TaskId(job, step, index);
    }

    @Override
    public String toString() {
        return job + "." + step + "." + index;
    }
}
