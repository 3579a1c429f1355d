package org.wagtailproxy.dispatch;

import java.util.Objects;
import org.wagtailproxy.identity.JobName;

/**
 * Identifies one task of one job.
 *
 * @param job the job, not null
 * @param index the position of the task within the job, not negative
 */
public record TaskRef(JobName job, int index) {

    /** Validates the components. */
    public TaskRef {
        Objects.requireNonNull(job, "job");
        if (index < 0) {
            throw new IllegalArgumentException("index is negative");
        }
    }

    /**
     * Creates a reference.
     *
     * @param job the job, not null
     * @param index the position, not negative
     * @return the reference, never null
     */
    public static TaskRef of(JobName job, int index) {
        return new TaskRef(job, index);
    }
}
