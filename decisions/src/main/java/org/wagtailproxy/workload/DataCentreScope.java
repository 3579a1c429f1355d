package org.wagtailproxy.workload;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.wagtailproxy.identity.DataCentre;

/**
 * Represents the backend servers on which a leader may start tasks, by data centre.
 *
 * @param dataCentres the only data centres, none if the leader may use all of them; not null
 * @param unlisted true if the leader may use servers that the directory no longer lists
 */
public record DataCentreScope(Option<Set<DataCentre>> dataCentres, boolean unlisted) {

    /** All data centres, also those that are not known here. */
    public static final DataCentreScope ALL = new DataCentreScope(Option.none(), false);

    /** No data centre. */
    public static final DataCentreScope EMPTY = of(Set.of());

    /** Validates the component. */
    public DataCentreScope {
        Objects.requireNonNull(dataCentres, "dataCentres");
    }

    /**
     * Creates the scope of some data centres.
     *
     * @param dataCentres the only data centres, not null
     * @return the scope, never null
     */
    public static DataCentreScope of(Set<DataCentre> dataCentres) {
        return new DataCentreScope(Option.some(Set.copyOf(dataCentres)), false);
    }

    /**
     * Returns this scope with or without servers that the directory no longer lists.
     *
     * @param mayBeUnlisted true if the leader may use them
     * @return the scope, never null
     */
    public DataCentreScope withUnlisted(boolean mayBeUnlisted) {
        return new DataCentreScope(dataCentres, mayBeUnlisted);
    }

    /**
     * Returns the scope of the servers of this scope and another one.
     *
     * @param other the other scope, not null
     * @return the union, never null
     */
    public DataCentreScope union(DataCentreScope other) {
        if (dataCentres.isEmpty() || other.dataCentres.isEmpty()) {
            return ALL.withUnlisted(unlisted || other.unlisted);
        }
        Set<DataCentre> union = new HashSet<>(dataCentres.get());
        union.addAll(other.dataCentres.get());
        return of(union).withUnlisted(unlisted || other.unlisted);
    }

    /**
     * Checks whether this scope contains each server of another one.
     *
     * @param other the other scope, not null
     * @return true if it does
     */
    public boolean containsAll(DataCentreScope other) {
        if (other.unlisted && !unlisted) {
            return false;
        }
        return dataCentres.isEmpty()
                || other.dataCentres.exists(names -> dataCentres.get().containsAll(names));
    }
}
