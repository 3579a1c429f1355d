package org.wagtailproxy.membership;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;

/**
 * Represents an instance as the platform lists it. The list does not contain incarnations.
 *
 * @param peerAddress the address on which other instances reach it, not null
 * @param dataCentre the data centre in which it runs, not null
 * @param leaving true if the platform is stopping it
 */
public record InstanceListing(HostAddress peerAddress, DataCentre dataCentre, boolean leaving) {

    /** Validates the components. */
    public InstanceListing {
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /**
     * Creates a listing.
     *
     * @param peerAddress the address on which other instances reach it, not null
     * @param dataCentre the data centre in which it runs, not null
     * @param leaving true if the platform is stopping it
     * @return the listing, never null
     */
    public static InstanceListing of(
            HostAddress peerAddress, DataCentre dataCentre, boolean leaving) {
        return new InstanceListing(peerAddress, dataCentre, leaving);
    }
}
