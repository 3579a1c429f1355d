package org.wagtailproxy.backend;

import java.util.Objects;
import org.wagtailproxy.dispatch.SendResult;

/**
 * Represents the outcome of sending one task.
 *
 * @param result the kind of outcome, not null
 * @param answer the answer, empty unless the task was answered, not null
 * @param detail the cause of a failure, never containing payloads, not null
 */
public record SendOutcome(SendResult result, String answer, String detail) {

    /** Validates the components. */
    public SendOutcome {
        Objects.requireNonNull(result, "result");
        Objects.requireNonNull(answer, "answer");
        Objects.requireNonNull(detail, "detail");
    }

    static SendOutcome answered(String answer) {
        return new SendOutcome(SendResult.ANSWERED, answer, "");
    }

    static SendOutcome of(SendResult result, String detail) {
        return new SendOutcome(result, "", detail);
    }
}
