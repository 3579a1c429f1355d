package org.wagtailproxy.settings;

import java.util.Objects;

/**
 * One thing that is wrong with a settings file.
 *
 * @param key the section and key concerned, or the file
 * @param kind what is wrong, not null
 * @param detail what was expected, not null
 */
public record SettingsProblem(String key, Kind kind, String detail) {

    /** What can be wrong. */
    public enum Kind {
        /** The file cannot be read or is not INI. */
        UNREADABLE,
        /** The section is not known. */
        UNKNOWN_SECTION,
        /** The key is not known in its section. */
        UNKNOWN_KEY,
        /** A required key is missing. */
        MISSING_KEY,
        /** A duration or size has no unit. */
        MISSING_UNIT,
        /** The value has the wrong form. */
        MALFORMED_VALUE,
        /** The value is out of range. */
        OUT_OF_RANGE,
        /** Two keys name the same address. */
        DUPLICATE_ADDRESS,
        /** The key is given more than once. */
        DUPLICATE_KEY
    }

    /** Checks the components. */
    public SettingsProblem {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Creates a problem.
     *
     * @param key the section and key, or the file
     * @param kind what is wrong, not null
     * @param detail what was expected, not null
     * @return the problem, never null
     */
    public static SettingsProblem of(String key, Kind kind, String detail) {
        return new SettingsProblem(key, kind, detail);
    }

    @Override
    public String toString() {
        return key
                + ": "
                + kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ')
                + ": "
                + detail;
    }
}
