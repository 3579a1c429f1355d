package org.wagtailproxy.leadership;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;

/**
 * An instance as it is registered in the store.
 *
 * @param name its name, not null
 * @param dataCentre where it stands, not null
 * @param peerAddress where it listens to other instances, not null
 * @param processorMillis its processor in thousandths of a core, 0 if it is not known
 * @param seniority when it registered; a lower number is senior
 */
public record InstanceRecord(
        InstanceName name,
        DataCentre dataCentre,
        HostAddress peerAddress,
        long processorMillis,
        long seniority) {

    /** Checks the components. */
    public InstanceRecord {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
