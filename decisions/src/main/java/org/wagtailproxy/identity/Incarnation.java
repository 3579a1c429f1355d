package org.wagtailproxy.identity;

import io.vavr.control.Option;
import java.util.Objects;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

/**
 * Identifies one run of an instance process, from start to stop, by 128 random bits.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record Incarnation(long high, long low) implements Comparable<Incarnation> {

    /** Length of the text form in characters. */
    public static final int TEXT_LENGTH = 32;

    private static final Pattern TEXT = Pattern.compile("[0-9a-f]{32}");
    private static final int HEX = 16;

    /**
     * Creates a random incarnation.
     *
     * @param random the source of randomness, not null
     * @return a new incarnation, never null
     */
    public static Incarnation random(RandomGenerator random) {
        Objects.requireNonNull(random, "random");
        return new Incarnation(random.nextLong(), random.nextLong());
    }

    /**
     * Creates an incarnation from its bits.
     *
     * @param high the upper 64 bits
     * @param low the lower 64 bits
     * @return the incarnation, never null
     */
    public static Incarnation of(long high, long low) {
        return new Incarnation(high, low);
    }

    /**
     * Parses the text form.
     *
     * @param text 32 lower-case hexadecimal digits, may be null
     * @return the incarnation, or none if the text is malformed
     */
    public static Option<Incarnation> parse(String text) {
        if (text == null || !TEXT.matcher(text).matches()) {
            return Option.none();
        }
        long high = Long.parseUnsignedLong(text.substring(0, HEX), HEX);
        long low = Long.parseUnsignedLong(text.substring(HEX), HEX);
        return Option.some(of(high, low));
    }

    @Override
    public int compareTo(Incarnation other) {
        int order = Long.compareUnsigned(high, other.high);
        return order != 0 ? order : Long.compareUnsigned(low, other.low);
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
