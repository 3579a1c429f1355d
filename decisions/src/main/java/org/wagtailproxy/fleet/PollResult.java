package org.wagtailproxy.fleet;

import io.vavr.control.Option;

/**
 * The result of asking a backend server what runs there.
 *
 * @param kind what came of it, not null
 * @param report what it said, none unless the kind is ANSWERED
 */
public record PollResult(Kind kind, Option<PollReport> report) {

    /** What came of asking. */
    public enum Kind {
        /** The backend server answered. */
        ANSWERED,
        /** Another instance has given orders with a higher fencing token. */
        FENCED,
        /** Another incarnation answers at the address. */
        OTHER_INCARNATION,
        /** The backend server answered something else. */
        REFUSED,
        /** Nothing listens at the address. */
        NOT_SENT,
        /** No answer came in time. */
        UNANSWERED
    }

    /**
     * Creates the result of an answer.
     *
     * @param report what the backend server said, not null
     * @return the result, never null
     */
    public static PollResult answered(PollReport report) {
        return new PollResult(Kind.ANSWERED, Option.some(report));
    }

    /**
     * Creates a result without an answer.
     *
     * @param kind what came of it, not ANSWERED
     * @return the result, never null
     */
    public static PollResult of(Kind kind) {
        return new PollResult(kind, Option.none());
    }
}
