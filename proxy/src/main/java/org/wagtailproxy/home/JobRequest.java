package org.wagtailproxy.home;

import java.util.Objects;
import org.wagtailproxy.identity.JobName;

/**
 * What a caller asks about a job.
 *
 * @param operation what is asked, not null
 * @param name the job, not null
 * @param body the submitted document, empty unless it is submitted
 * @param waitMilliseconds the longest wait for its end
 */
public record JobRequest(JobOperation operation, JobName name, byte[] body, long waitMilliseconds) {

    private static final byte[] NO_BODY = new byte[0];

    /** Checks the components. */
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
     * @param operation what is asked, not null
     * @param name the job, not null
     * @param waitMilliseconds the longest wait for its end, 0 for none
     * @return the request, never null
     */
    public static JobRequest of(JobOperation operation, JobName name, long waitMilliseconds) {
        return new JobRequest(operation, name, NO_BODY, waitMilliseconds);
    }

    JobRequest withName(JobName other) {
        return new JobRequest(operation, other, body, waitMilliseconds);
    }
}
