package org.wagtailproxy.workload;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.wagtailproxy.identity.DataCentre;

/**
 * Represents the data centres on whose backend servers a leader may start tasks.
 *
 * @param dataCentres the only data centres, none if the leader may use all of them; not null
 */
public record DataCentreScope(Option<Set<DataCentre>> dataCentres) {

    /** All data centres, also those that are not known here. */
    public static final DataCentreScope ALL = new DataCentreScope(Option.none());

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
        return new DataCentreScope(Option.some(Set.copyOf(dataCentres)));
    }

    /**
     * Returns the scope of the data centres of this scope and another one.
     *
     * @param other the other scope, not null
     * @return the union, never null
     */
    public DataCentreScope union(DataCentreScope other) {
        if (dataCentres.isEmpty() || other.dataCentres.isEmpty()) {
            return ALL;
        }
        Set<DataCentre> union = new HashSet<>(dataCentres.get());
        union.addAll(other.dataCentres.get());
        return of(union);
    }

    /**
     * Checks whether this scope contains each data centre of another one.
     *
     * @param other the other scope, not null
     * @return true if it does
     */
    public boolean containsAll(DataCentreScope other) {
        return dataCentres.isEmpty()
                || other.dataCentres.exists(names -> dataCentres.get().containsAll(names));
    }
}
