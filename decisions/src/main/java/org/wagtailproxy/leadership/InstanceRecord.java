package org.wagtailproxy.leadership;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;

/**
 * Represents an instance as it is registered in the store.
 *
 * @param name its name, not null
 * @param dataCentre the data centre in which it runs, not null
 * @param peerAddress the address on which it accepts connections of other instances, not null
 * @param processorMillis its processor capacity in thousandths of a core, 0 if unknown
 * @param seniority the order of registration; a lower number is more senior
 */
public record InstanceRecord(
        InstanceName name,
        DataCentre dataCentre,
        HostAddress peerAddress,
        long processorMillis,
        long seniority) {

    /** Validates the components. */
    public InstanceRecord {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
