package org.wagtailproxy.peer;

import java.util.List;
import org.wagtailproxy.wire.Demand;

/** Tells the demand of this instance. */
public interface DemandSource {

    /**
     * Counts the tasks queued or in flight.
     *
     * @return the number over all services
     */
    int demand();

    /**
     * Returns the demand for each service that has any or can lend slots.
     *
     * @return a new list, never null
     */
    List<Demand> serviceDemands();

    /**
     * Returns the demand of each team that has any.
     *
     * @return a new list, never null
     */
    List<Demand> teamDemands();
}
