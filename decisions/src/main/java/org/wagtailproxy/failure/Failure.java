package org.wagtailproxy.failure;

import java.util.Objects;

/**
 * Represents a typed failure with a human-readable detail.
 *
 * @param kind the kind, not null
 * @param detail the cause, not null; contains no payloads
 */
public record Failure(FailureKind kind, String detail) {

    /** Validates the components. */
    public Failure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Creates a failure.
     *
     * @param kind the kind, not null
     * @param detail the cause, not null; contains no payloads
     * @return the failure, never null
     */
    public static Failure of(FailureKind kind, String detail) {
        return new Failure(kind, detail);
    }
}
