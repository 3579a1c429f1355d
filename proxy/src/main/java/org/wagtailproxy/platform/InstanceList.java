package org.wagtailproxy.platform;

import java.util.List;
import java.util.Map;
import org.wagtailproxy.dispatch.BackendServerListing;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.membership.InstanceListing;

/**
 * One version of the platform's instance list.
 *
 * @param version the version that the platform gave it, 0 if none was ever read
 * @param entries the entry instances, not null
 * @param backendServers the backend servers of each service, not null
 */
public record InstanceList(
        long version,
        List<InstanceListing> entries,
        Map<ServiceName, List<BackendServerListing>> backendServers) {

    /** Copies the components. */
    public InstanceList {
        entries = List.copyOf(entries);
        backendServers = Map.copyOf(backendServers);
    }

    /**
     * Returns the list that is held before any was read.
     *
     * @return an empty list, never null
     */
    public static InstanceList empty() {
        return new InstanceList(0, List.of(), Map.of());
    }
}
