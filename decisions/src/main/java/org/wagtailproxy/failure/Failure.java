package org.wagtailproxy.failure;

import java.util.Objects;

/**
 * A typed failure with a detail for people.
 *
 * @param kind the kind, not null
 * @param detail what was wrong, not null, without payloads
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
     * @param detail what was wrong, not null
     * @return the failure, never null
     */
    public static Failure of(FailureKind kind, String detail) {
        return new Failure(kind, detail);
    }
}
