package org.wagtailproxy.fleet;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * Represents the answer to a start command.
 *
 * @param result the result of the command, not null
 * @param clockMillis the backend server's clock in milliseconds, none if it is not reported
 */
public record StartAnswer(StartResult result, Option<Long> clockMillis) {

    /** Checks the components. */
    public StartAnswer {
        Objects.requireNonNull(result, "result");
    }

    /**
     * Creates an answer without the server's clock.
     *
     * @param result the result of the command, not null
     * @return the answer, never null
     */
    public static StartAnswer of(StartResult result) {
        return new StartAnswer(result, Option.none());
    }
}
