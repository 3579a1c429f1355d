package org.wagtailproxy.identity;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * Identifies the incarnation that may start a job and the window in which the session was issued.
 *
 * @param incarnation the incarnation, not null
 * @param window the number of the window, not negative
 */
public record SessionToken(Incarnation incarnation, long window) {

    private static final int MAX_WINDOW_DIGITS = 10;

    /** Validates the components. */
    public SessionToken {
        Objects.requireNonNull(incarnation, "incarnation");
        if (window < 0) {
            throw new IllegalArgumentException("window is negative");
        }
    }

    /**
     * Creates a token.
     *
     * @param incarnation the incarnation, not null
     * @param window the number of the window, not negative
     * @return the token, never null
     */
    public static SessionToken of(Incarnation incarnation, long window) {
        return new SessionToken(incarnation, window);
    }

    /**
     * Parses the text form {@code incarnation.window}.
     *
     * @param text the text, not null
     * @return the token, or none if the text is malformed
     */
    public static Option<SessionToken> parse(String text) {
        int separator = text.indexOf('.');
        if (separator != Incarnation.TEXT_LENGTH) {
            return Option.none();
        }
        String digits = text.substring(separator + 1);
        boolean isNumber =
                !digits.isEmpty()
                        && digits.length() <= MAX_WINDOW_DIGITS
                        && digits.chars().allMatch(each -> each >= '0' && each <= '9');
        if (!isNumber) {
            return Option.none();
        }
        return Incarnation.parse(text.substring(0, separator))
                .map(incarnation -> of(incarnation, Long.parseLong(digits)));
    }

    @Override
    public String toString() {
        return incarnation + "." + window;
    }
}
