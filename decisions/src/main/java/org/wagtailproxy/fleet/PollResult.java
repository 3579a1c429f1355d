package org.wagtailproxy.fleet;

import io.vavr.control.Option;

/**
 * Represents the result of a poll of a backend server.
 *
 * @param kind the kind of result, not null
 * @param report the report of the server, none unless the kind is ANSWERED
 */
public record PollResult(Kind kind, Option<PollReport> report) {

    /** The kinds of results. */
    public enum Kind {
        /** The backend server answered. */
        ANSWERED,
        /** Another instance has sent commands with a higher fencing token. */
        FENCED,
        /** Another incarnation answers at the address. */
        OTHER_INCARNATION,
        /** The backend server returned another answer than a report. */
        REFUSED,
        /** Nothing listens at the address. */
        NOT_SENT,
        /** No answer came in time. */
        UNANSWERED
    }

    /**
     * Creates the result of an answered poll.
     *
     * @param report the report of the backend server, not null
     * @return the result, never null
     */
    public static PollResult answered(PollReport report) {
        return new PollResult(Kind.ANSWERED, Option.some(report));
    }

    /**
     * Creates a result without a report.
     *
     * @param kind the kind of result, not ANSWERED
     * @return the result, never null
     */
    public static PollResult of(Kind kind) {
        return new PollResult(kind, Option.none());
    }
}
