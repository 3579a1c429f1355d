package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;

/**
 * Represents what is known of another instance of the pool.
 *
 * @param name its name, not null
 * @param dataCentre the data centre in which it runs, not null
 * @param address the address on which it accepts connections of other instances, not null
 * @param processorMillis its processor capacity in thousandths of a core, 0 if unknown
 * @param seniority the order of joining; a lower number is more senior
 * @param reachable true if it answers liveness probes
 * @param draining true if it is about to stop
 * @param storeContact its contact to the store, not null
 * @param overloaded true if it cannot keep up with its work
 * @param follows the leader that it reported to follow, none if it has reported none
 */
public record Peer(
        InstanceName name,
        DataCentre dataCentre,
        HostAddress address,
        long processorMillis,
        long seniority,
        boolean reachable,
        boolean draining,
        StoreContact storeContact,
        boolean overloaded,
        Option<InstanceName> follows) {

    /** Validates the components. */
    public Peer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(storeContact, "storeContact");
        Objects.requireNonNull(follows, "follows");
    }
}
