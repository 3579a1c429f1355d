package org.wagtailproxy.identity;

/**
 * Represents the name of a service, which is a set of backend servers that run the same tasks.
 *
 * @param value the name, 1 to 100 of the characters {@code A-Z a-z 0-9 _ : -}
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Validates the name. */
    public ServiceName {
        Names.checkName(value);
    }

    /**
     * Creates a name.
     *
     * @param value the name, not null
     * @return the value, never null
     * @throws IllegalArgumentException if the name has other characters or a wrong length
     */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
