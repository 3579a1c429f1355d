package org.wagtailproxy.leadership;

import java.util.Objects;
import org.wagtailproxy.identity.HostAddress;

/**
 * Represents a liveness probe that is to be sent to a peer.
 *
 * @param peer the peer to probe, not null
 * @param address the address on which the peer accepts connections, not null
 * @param sentNanos the monotonic time in nanoseconds at which the probe was created
 * @param suspensions the number of times that this machine may have been suspended before the probe
 *     was created
 */
public record PeerProbe(InstanceName peer, HostAddress address, long sentNanos, int suspensions) {

    /** Validates the components. */
    public PeerProbe {
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(address, "address");
    }
}
