package org.wagtailproxy.identity;

/**
 * Represents the name of a team of callers that share one quota.
 *
 * @param value the name, 1 to 100 of the characters {@code A-Z a-z 0-9 _ : -}
 */
public record TeamName(String value) implements Comparable<TeamName> {

    /** Validates the name. */
    public TeamName {
        Names.checkName(value);
    }

    /**
     * Creates a name.
     *
     * @param value the name, not null
     * @return the value, never null
     * @throws IllegalArgumentException if the name has other characters or a wrong length
     */
    public static TeamName of(String value) {
        return new TeamName(value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
