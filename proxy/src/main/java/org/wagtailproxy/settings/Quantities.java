package org.wagtailproxy.settings;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wagtailproxy.settings.SettingsProblem.Kind;

/** Parses durations and sizes, which are written as a number with a unit. */
final class Quantities {

    static final List<String> TIME_UNITS = List.of("ms", "s", "min", "h");
    static final List<String> SIZE_UNITS = List.of("KB", "MB", "GB");

    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,9}) ?([A-Za-z]*)");
    private static final long KILO = 1000;

    private Quantities() {}

    static Either<Kind, Duration> parseDuration(String text) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            return Either.left(Kind.MALFORMED_VALUE);
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "" -> Either.left(Kind.MISSING_UNIT);
            case "ms" -> Either.right(Duration.ofMillis(number));
            case "s" -> Either.right(Duration.ofSeconds(number));
            case "min" -> Either.right(Duration.ofMinutes(number));
            case "h" -> Either.right(Duration.ofHours(number));
            default -> Either.left(Kind.MALFORMED_VALUE);
        };
    }

    static Either<Kind, Long> parseBytes(String text) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            return Either.left(Kind.MALFORMED_VALUE);
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "" -> Either.left(Kind.MISSING_UNIT);
            case "KB" -> Either.right(number * KILO);
            case "MB" -> Either.right(number * KILO * KILO);
            case "GB" -> Either.right(number * KILO * KILO * KILO);
            default -> Either.left(Kind.MALFORMED_VALUE);
        };
    }
}
