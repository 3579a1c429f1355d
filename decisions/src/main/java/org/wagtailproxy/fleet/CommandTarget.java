package org.wagtailproxy.fleet;

import java.util.Objects;
import org.wagtailproxy.identity.HostAddress;

/**
 * Identifies the backend server that a command is sent to, and the fencing token that authorizes
 * it.
 *
 * @param server the backend server, not null
 * @param address the address at which it accepts commands, not null
 * @param fencingToken the token of this instance; an instance that claims the server later has a
 *     higher one
 */
public record CommandTarget(ServerId server, HostAddress address, long fencingToken) {

    /** Checks the components. */
    public CommandTarget {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(address, "address");
    }
}
