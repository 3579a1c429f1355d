package org.wagtailproxy.dispatch;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;

/**
 * Represents a backend server as the platform lists it.
 *
 * @param id the backend server, not null
 * @param dataCentre the data centre in which it runs, not null
 * @param slots the number of tasks that it runs at once, 1 or more
 * @param leaving true if it is to receive no new tasks
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
     * @param dataCentre the data centre in which it runs, not null
     * @param slots the number of tasks that it runs at once, 1 or more
     * @param leaving true if it is to receive no new tasks
     * @return the listing, never null
     */
    public static BackendServerListing of(
            BackendServerId id, DataCentre dataCentre, int slots, boolean leaving) {
        return new BackendServerListing(id, dataCentre, slots, leaving);
    }

    /**
     * Returns this listing marked as leaving.
     *
     * @return the marked listing, never null
     */
    public BackendServerListing asLeaving() {
        return of(id, dataCentre, slots, true);
    }
}
