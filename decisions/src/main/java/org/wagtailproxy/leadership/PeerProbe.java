package org.wagtailproxy.leadership;

import java.util.Objects;
import org.wagtailproxy.identity.HostAddress;

/**
 * A question for a peer's presence that is to be sent.
 *
 * @param peer whom to ask, not null
 * @param address where it listens, not null
 * @param suspensions how often this machine may have been suspended before
 */
public record PeerProbe(InstanceName peer, HostAddress address, int suspensions) {

    /** Checks the components. */
    public PeerProbe {
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(address, "address");
    }
}
