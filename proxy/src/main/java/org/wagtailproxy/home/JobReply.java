package org.wagtailproxy.home;

import io.vavr.control.Option;
import java.util.Objects;
import org.wagtailproxy.document.Problems;
import org.wagtailproxy.failure.Failure;

/**
 * Represents the response to a request about a job.
 *
 * @param status the HTTP status code
 * @param body the JSON document of the job or of the problem, not null
 * @param failure the slug of the failure kind, none if the body is a job
 */
public record JobReply(int status, byte[] body, Option<String> failure) {

    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    /** Validates the components. */
    public JobReply {
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(failure, "failure");
    }

    /**
     * Creates the reply for a job that has ended.
     *
     * @param document the document, not null
     * @return the reply, never null
     */
    public static JobReply ended(byte[] document) {
        return new JobReply(OK, document, Option.none());
    }

    /**
     * Creates the reply for a job that is still running.
     *
     * @param document the document, not null
     * @return the reply, never null
     */
    public static JobReply running(byte[] document) {
        return new JobReply(ACCEPTED, document, Option.none());
    }

    /**
     * Creates the reply for a refused request.
     *
     * @param failure the reason, not null
     * @return the reply, never null
     */
    public static JobReply refused(Failure failure) {
        return new JobReply(
                failure.kind().status(),
                Problems.bytes(failure),
                Option.some(failure.kind().slug()));
    }
}
