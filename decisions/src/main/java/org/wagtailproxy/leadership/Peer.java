package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;

/**
 * Another instance, as this one knows it.
 *
 * @param name its name, not null
 * @param dataCentre where it stands, not null
 * @param address where it listens to instances, not null
 * @param processorMillis its processor in thousandths of a core, 0 if it is not known
 * @param seniority when it joined; a lower number is senior
 * @param reachable true if it answers
 * @param draining true if it is about to stop
 * @param storeUnreachable true if stored jobs are kept and it does not reach the store
 * @param follows the leader that it says it follows, none if it has not said
 */
public record Peer(
        InstanceName name,
        DataCentre dataCentre,
        HostAddress address,
        long processorMillis,
        long seniority,
        boolean reachable,
        boolean draining,
        boolean storeUnreachable,
        Option<InstanceName> follows) {

    /** Checks the components. */
    public Peer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(follows, "follows");
    }
}
