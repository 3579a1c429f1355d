package org.wagtailproxy.workload;

import java.util.Objects;

/**
 * Represents the outcome of a job, with which the dispatcher answers its caller.
 *
 * @param kind the kind of the outcome, not null
 * @param reason the reason as a short phrase for logs, not null
 * @param retryAfterMillis time in milliseconds after which a refused caller should retry, 0 if
 *     there is none
 */
public record WorkOutcome(Kind kind, String reason, long retryAfterMillis) {

    /** Kind of an outcome. */
    public enum Kind {
        /** Every task is done. */
        COMPLETE,
        /** The job is stored and will be run, even if its caller disconnects. */
        ACCEPTED,
        /** A task has reached the maximum number of failures of its queue. */
        FAILED,
        /** No task has been started, and none will be. */
        REFUSED,
        /** The job was abandoned after one of its tasks may have been started. */
        ABANDONED
    }

    /** Validates the components. */
    public WorkOutcome {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(reason, "reason");
    }

    /**
     * Creates an outcome without a retry delay.
     *
     * @param kind the kind of the outcome, not null
     * @param reason the reason, not null
     * @return the outcome, never null
     */
    public static WorkOutcome of(Kind kind, String reason) {
        return new WorkOutcome(kind, reason, 0);
    }

    /**
     * Creates a refusal.
     *
     * @param reason the reason, not null
     * @param retryAfterMillis time after which the caller should retry, in milliseconds
     * @return the outcome, never null
     */
    public static WorkOutcome refused(String reason, long retryAfterMillis) {
        return new WorkOutcome(Kind.REFUSED, reason, retryAfterMillis);
    }
}
