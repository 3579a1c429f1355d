package org.wagtailproxy.identity;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.regex.Pattern;

/** Provides static methods that validate and hash names. */
public final class Names {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_:-]{1,100}");
    private static final int FNV_OFFSET = 0x811c9dc5;
    private static final int FNV_PRIME = 0x01000193;

    private Names() {}

    /**
     * Checks whether a text is a valid name.
     *
     * @param value the text, may be null
     * @return true if it is a valid name
     */
    public static boolean isName(String value) {
        return value != null && NAME.matcher(value).matches();
    }

    /**
     * Validates a name.
     *
     * @param value the name, not null
     * @return the name, never null
     * @throws IllegalArgumentException if it is not valid
     */
    public static String checkName(String value) {
        Objects.requireNonNull(value, "value");
        if (!isName(value)) {
            throw new IllegalArgumentException("not a name: 1 to 100 of A-Z a-z 0-9 _ : -");
        }
        return value;
    }

    /**
     * Returns the 32-bit FNV-1a hash of a name, as used on the wire.
     *
     * @param value the name, not null
     * @return the hash, equal on every instance
     */
    public static int hash(String value) {
        int hash = FNV_OFFSET;
        for (byte each : value.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (each & 0xff)) * FNV_PRIME;
        }
        return hash;
    }
}
