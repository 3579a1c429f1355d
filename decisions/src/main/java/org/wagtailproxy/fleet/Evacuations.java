package org.wagtailproxy.fleet;

import java.util.Set;
import org.wagtailproxy.identity.DataCentre;

/**
 * Represents the data centres that the operator has asked to evacuate: their backend servers get no
 * new tasks, and what runs there ends by itself.
 *
 * @param revision the revision of the store at which this was read, 0 if it was not
 * @param dataCentres the evacuated data centres, not null
 */
public record Evacuations(long revision, Set<DataCentre> dataCentres) {

    /** What is assumed before the operator's documents have been read. */
    public static final Evacuations UNKNOWN = new Evacuations(0, Set.of());

    /** Makes an immutable copy of the set. */
    public Evacuations {
        dataCentres = Set.copyOf(dataCentres);
    }

    /**
     * Checks whether this was read later than another one.
     *
     * @param other the other one, not null
     * @return true if this replaces it
     */
    public boolean isNewerThan(Evacuations other) {
        return revision > other.revision;
    }

    /**
     * Checks whether a data centre is evacuated.
     *
     * @param dataCentre the data centre, not null
     * @return true if its backend servers get no new tasks
     */
    public boolean contains(DataCentre dataCentre) {
        return dataCentres.contains(dataCentre);
    }
}
