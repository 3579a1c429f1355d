package org.wagtailproxy.dispatch;

import java.util.Objects;
import org.wagtailproxy.identity.HostAddress;

/**
 * Identifies a backend server by its address.
 *
 * @param address the address, not null
 */
public record BackendServerId(HostAddress address) implements Comparable<BackendServerId> {

    /** Validates the address. */
    public BackendServerId {
        Objects.requireNonNull(address, "address");
    }

    /**
     * Creates an id.
     *
     * @param address the address, not null
     * @return the id, never null
     */
    public static BackendServerId of(HostAddress address) {
        return new BackendServerId(address);
    }

    @Override
    public int compareTo(BackendServerId other) {
        return address.compareTo(other.address);
    }

    @Override
    public String toString() {
        return address.toString();
    }
}
