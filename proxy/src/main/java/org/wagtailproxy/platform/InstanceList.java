package org.wagtailproxy.platform;

import java.util.List;
import java.util.Map;
import org.wagtailproxy.dispatch.BackendServerListing;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.membership.InstanceListing;

/**
 * Represents one version of the instance list of the platform.
 *
 * @param version the version assigned by the platform, 0 if the list was never read
 * @param entryInstances the entry instances, not null
 * @param backendServers the backend servers of each service, not null
 */
public record InstanceList(
        long version,
        List<InstanceListing> entryInstances,
        Map<ServiceName, List<BackendServerListing>> backendServers) {

    /** Copies the components. */
    public InstanceList {
        entryInstances = List.copyOf(entryInstances);
        backendServers = Map.copyOf(backendServers);
    }

    /**
     * Returns the list to use until one has been read.
     *
     * @return an empty list, never null
     */
    public static InstanceList empty() {
        return new InstanceList(0, List.of(), Map.of());
    }
}
