package org.wagtailproxy.peer;

import java.util.List;
import org.wagtailproxy.wire.Demand;

/** Provides the demand of this instance: the number of tasks that are queued or in flight. */
public interface DemandSource {

    /**
     * Returns the number of tasks queued or in flight.
     *
     * @return the number of tasks over all services
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
