package org.wagtailproxy.identity;

/**
 * Represents the name of a data centre.
 *
 * @param value the name, 1 to 100 of the characters {@code A-Z a-z 0-9 _ : -}
 */
public record DataCentre(String value) implements Comparable<DataCentre> {

    /** Validates the name. */
    public DataCentre {
        Names.checkName(value);
    }

    /**
     * Creates a name.
     *
     * @param value the name, not null
     * @return the value, never null
     * @throws IllegalArgumentException if the name has other characters or a wrong length
     */
    public static DataCentre of(String value) {
        return new DataCentre(value);
    }

    @Override
    public int compareTo(DataCentre other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
