package org.wagtailproxy.home;

import io.vavr.control.Option;
import java.util.Objects;
import org.wagtailproxy.document.Problems;
import org.wagtailproxy.failure.Failure;

/**
 * What a caller is answered about a job.
 *
 * @param status the HTTP status
 * @param body the document, not null
 * @param failure the type of the refusal as a slug, none if the body is a job
 */
public record JobReply(int status, byte[] body, Option<String> failure) {

    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    /** Checks the components. */
    public JobReply {
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(failure, "failure");
    }

    /**
     * Creates the reply about a job that has ended.
     *
     * @param document the document, not null
     * @return the reply, never null
     */
    public static JobReply ended(byte[] document) {
        return new JobReply(OK, document, Option.none());
    }

    /**
     * Creates the reply about a job that runs.
     *
     * @param document the document, not null
     * @return the reply, never null
     */
    public static JobReply running(byte[] document) {
        return new JobReply(ACCEPTED, document, Option.none());
    }

    /**
     * Creates a refusal.
     *
     * @param failure why, not null
     * @return the reply, never null
     */
    public static JobReply refused(Failure failure) {
        return new JobReply(
                failure.kind().status(),
                Problems.bytes(failure),
                Option.some(failure.kind().slug()));
    }
}
