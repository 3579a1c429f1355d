package org.wagtailproxy.settings;

import java.util.Objects;

/**
 * Represents one problem with a settings file.
 *
 * @param key the section and key, or the name of the file, not null
 * @param kind the kind of problem, not null
 * @param detail the expected value or form, not null
 */
public record SettingsProblem(String key, Kind kind, String detail) {

    /** Identifies the kinds of problems. */
    public enum Kind {
        /** The file cannot be read or is not an INI file. */
        UNREADABLE,
        /** The section is unknown. */
        UNKNOWN_SECTION,
        /** The key is unknown in its section. */
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
     * @param key the section and key, or the name of the file, not null
     * @param kind the kind of problem, not null
     * @param detail the expected value or form, not null
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
