package org.wagtailproxy.dispatch;

import java.util.Objects;
import org.wagtailproxy.identity.HostAddress;

/**
 * Identifies a backend server by its address.
 *
 * @param address the address, not null
 */
public record RunnerId(HostAddress address) implements Comparable<RunnerId> {

    /** Checks the address. */
    public RunnerId {
        Objects.requireNonNull(address, "address");
    }

    /**
     * Creates an id.
     *
     * @param address the address, not null
     * @return the id, never null
     */
    public static RunnerId of(HostAddress address) {
        return new RunnerId(address);
    }

    @Override
    public int compareTo(RunnerId other) {
        return address.compareTo(other.address);
    }

    @Override
    public String toString() {
        return address.toString();
    }
}
