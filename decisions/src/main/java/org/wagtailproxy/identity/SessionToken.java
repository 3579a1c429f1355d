package org.wagtailproxy.identity;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * Names the incarnation that may start a job, and the window in which its name was coined.
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
     * @return the token, or none if the text is something else
     */
    public static Option<SessionToken> parse(String text) {
        int split = text.indexOf('.');
        if (split != Incarnation.TEXT_LENGTH) {
            return Option.none();
        }
        String digits = text.substring(split + 1);
        boolean number =
                !digits.isEmpty()
                        && digits.length() <= MAX_WINDOW_DIGITS
                        && digits.chars().allMatch(each -> each >= '0' && each <= '9');
        if (!number) {
            return Option.none();
        }
        return Incarnation.parse(text.substring(0, split))
                .map(incarnation -> of(incarnation, Long.parseLong(digits)));
    }

    @Override
    public String toString() {
        return incarnation + "." + window;
    }
}
