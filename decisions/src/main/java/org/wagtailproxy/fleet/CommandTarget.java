package org.wagtailproxy.fleet;

import java.util.Objects;
import org.wagtailproxy.identity.HostAddress;

/**
 * Who an order is for and by which right it is given.
 *
 * @param server the backend server, not null
 * @param address where it takes orders, not null
 * @param fencingToken the token that later holders of the right exceed
 */
public record CommandTarget(ServerId server, HostAddress address, long fencingToken) {

    /** Checks the components. */
    public CommandTarget {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(address, "address");
    }
}
