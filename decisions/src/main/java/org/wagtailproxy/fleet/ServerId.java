package org.wagtailproxy.fleet;

import org.wagtailproxy.identity.Names;

/**
 * Identifies a backend server. A restarted server may keep its id.
 *
 * @param value a name
 */
public record ServerId(String value) implements Comparable<ServerId> {

    /** Checks the name. */
    public ServerId {
        Names.checkName(value);
    }

    /**
     * Creates an id.
     *
     * @param value a name, not null
     * @return the id, never null
     */
    public static ServerId of(String value) {
        return new ServerId(value);
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
