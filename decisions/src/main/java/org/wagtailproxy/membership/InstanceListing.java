package org.wagtailproxy.membership;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;

/**
 * An entry instance as the platform lists it; the list does not know incarnations.
 *
 * @param peerAddress where other instances reach it, not null
 * @param dataCentre where it stands, not null
 * @param leaving whether the platform is stopping it
 */
public record InstanceListing(HostAddress peerAddress, DataCentre dataCentre, boolean leaving) {

    /** Checks the components. */
    public InstanceListing {
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /**
     * Creates a listing.
     *
     * @param peerAddress where other instances reach it, not null
     * @param dataCentre where it stands, not null
     * @param leaving whether the platform is stopping it
     * @return the listing, never null
     */
    public static InstanceListing of(
            HostAddress peerAddress, DataCentre dataCentre, boolean leaving) {
        return new InstanceListing(peerAddress, dataCentre, leaving);
    }
}
