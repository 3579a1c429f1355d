package org.wagtailproxy.identity;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Objects;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;

/**
 * Represents the name of a job: a session token and a key, or a key alone.
 *
 * @param session the only session that may start the job, none for a name that is claimed without a
 *     session
 * @param key the caller's key, a valid name
 */
public record JobName(Option<SessionToken> session, String key) {

    /** Validates the components. */
    public JobName {
        Objects.requireNonNull(session, "session");
        Names.checkName(key);
    }

    /**
     * Creates the name of a job within a session.
     *
     * @param session the session, not null
     * @param key the caller's key, a valid name
     * @return the name, never null
     */
    public static JobName of(SessionToken session, String key) {
        return new JobName(Option.some(session), key);
    }

    /**
     * Parses the text form {@code incarnation.window.key} or {@code key}.
     *
     * @param text the text, may be null
     * @return the name, or a malformed-request failure
     */
    public static Either<Failure, JobName> parse(String text) {
        if (Names.isName(text)) {
            return Either.right(new JobName(Option.none(), text));
        }
        int separator = text == null ? -1 : text.lastIndexOf('.');
        if (separator < 0 || !Names.isName(text.substring(separator + 1))) {
            return Either.left(malformed());
        }
        String key = text.substring(separator + 1);
        return SessionToken.parse(text.substring(0, separator))
                .map(token -> of(token, key))
                .toEither(JobName::malformed);
    }

    private static Failure malformed() {
        return Failure.of(
                FailureKind.MALFORMED_REQUEST,
                "a job name is incarnation.window.key or a key of A-Z a-z 0-9 _ : -");
    }

    @Override
    public String toString() {
        return session.map(token -> token + "." + key).getOrElse(key);
    }
}
