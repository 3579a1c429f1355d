package org.wagtailproxy.fleet;

import java.util.Objects;
import java.util.Set;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.ResourceAmount;

/**
 * Represents the directory entry of a backend server.
 *
 * @param id the id of the server, not null
 * @param service the service whose tasks it runs, not null
 * @param address the address at which it accepts commands, not null
 * @param dataCentre the data centre of the server, not null
 * @param slots how many tasks it runs at once, 1 or more
 * @param capacity the resources of the server, not null
 * @param labels the kind and the rack of the server, not null
 * @param draining true if it is about to be removed and gets no new tasks
 */
public record ServerEntry(
        ServerId id,
        ServiceName service,
        HostAddress address,
        DataCentre dataCentre,
        int slots,
        ResourceAmount capacity,
        Set<String> labels,
        boolean draining) {

    /** Checks the components. */
    public ServerEntry {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(capacity, "capacity");
        labels = Set.copyOf(labels);
    }
}
