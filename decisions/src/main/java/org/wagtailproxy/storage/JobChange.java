package org.wagtailproxy.storage;

import java.util.Objects;
import org.wagtailproxy.workload.StoredJob;

/**
 * Represents a change of a stored job that is to be written to the store.
 *
 * @param job the job as it is to be stored, not null
 * @param changeNumber the number of the change, assigned by the scheduler
 * @param removed true if the job is to be removed from the store
 */
public record JobChange(StoredJob job, long changeNumber, boolean removed) {

    /** Validates the components. */
    public JobChange {
        Objects.requireNonNull(job, "job");
    }
}
