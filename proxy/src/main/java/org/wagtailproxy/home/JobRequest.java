package org.wagtailproxy.home;

import java.util.Objects;
import org.wagtailproxy.identity.JobName;

/**
 * Represents a request of a caller about a job.
 *
 * @param operation the operation, not null
 * @param name the job, not null
 * @param body the submitted document, not null, empty for operations other than a submission
 * @param waitMilliseconds the maximum wait for the end in milliseconds
 */
public record JobRequest(JobOperation operation, JobName name, byte[] body, long waitMilliseconds) {

    private static final byte[] NO_BODY = new byte[0];

    /** Validates the components. */
    public JobRequest {
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Creates a submission.
     *
     * @param name the job, not null
     * @param body the document, not null
     * @return the request, never null
     */
    public static JobRequest submit(JobName name, byte[] body) {
        return new JobRequest(JobOperation.SUBMIT, name, body, 0);
    }

    /**
     * Creates a request without a body.
     *
     * @param operation the operation, not null
     * @param name the job, not null
     * @param waitMilliseconds the maximum wait for the end in milliseconds, 0 for none
     * @return the request, never null
     */
    public static JobRequest of(JobOperation operation, JobName name, long waitMilliseconds) {
        return new JobRequest(operation, name, NO_BODY, waitMilliseconds);
    }

    JobRequest withName(JobName other) {
        return new JobRequest(operation, other, body, waitMilliseconds);
    }
}
