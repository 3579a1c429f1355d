package org.wagtailproxy.leadership;

import org.wagtailproxy.identity.Names;

/**
 * Represents the name of an instance. A restarted process has the same name as before.
 *
 * @param value a name
 */
public record InstanceName(String value) implements Comparable<InstanceName> {

    /** Validates the name. */
    public InstanceName {
        Names.checkName(value);
    }

    /**
     * Creates a name.
     *
     * @param value a name, not null
     * @return the name, never null
     */
    public static InstanceName of(String value) {
        return new InstanceName(value);
    }

    @Override
    public int compareTo(InstanceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
