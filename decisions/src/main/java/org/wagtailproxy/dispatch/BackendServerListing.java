package org.wagtailproxy.dispatch;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;

/**
 * A backend server as the platform lists it.
 *
 * @param id the backend server, not null
 * @param dataCentre where it stands, not null
 * @param slots how many tasks it runs at once, 1 or more
 * @param leaving whether it is to receive no new work
 */
public record BackendServerListing(
        BackendServerId id, DataCentre dataCentre, int slots, boolean leaving) {

    /** Validates the components. */
    public BackendServerListing {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(dataCentre, "dataCentre");
        if (slots < 1) {
            throw new IllegalArgumentException("slots is below 1");
        }
    }

    /**
     * Creates a listing.
     *
     * @param id the backend server, not null
     * @param dataCentre where it stands, not null
     * @param slots how many tasks it runs at once, 1 or more
     * @param leaving whether it is to receive no new work
     * @return the listing, never null
     */
    public static BackendServerListing of(
            BackendServerId id, DataCentre dataCentre, int slots, boolean leaving) {
        return new BackendServerListing(id, dataCentre, slots, leaving);
    }

    /**
     * Marks the backend server as leaving.
     *
     * @return the listing as leaving, never null
     */
    public BackendServerListing asLeaving() {
        return of(id, dataCentre, slots, true);
    }
}
