package org.wagtailproxy.fleet;

import java.util.Objects;
import java.util.Set;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.ResourceAmount;

/**
 * What the directory says of a backend server.
 *
 * @param id its id, not null
 * @param service whose tasks it runs, not null
 * @param address where it takes orders, not null
 * @param dataCentre where it stands, not null
 * @param slots how many tasks it runs at once, 1 or more
 * @param capacity what it has, not null
 * @param labels its kind and its rack, not null
 * @param draining true if it is about to leave
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
