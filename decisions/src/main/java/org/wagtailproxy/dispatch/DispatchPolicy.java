package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Optional;

/** Chooses the backend server for a task, or lets the task wait. */
interface DispatchPolicy {

    /**
     * Chooses among candidates that have a free place.
     *
     * @param free backend servers that may be sent a task now, not empty
     * @param all every backend server of the service that is not leaving or ejected
     * @param queued how many tasks wait, the one to place included
     * @return the backend server, or empty if waiting is better
     */
    Optional<BackendServerState> choose(
            List<BackendServerState> free, List<BackendServerState> all, int queued);

    /**
     * Checks whether tasks are served by highest response ratio; otherwise by arrival.
     *
     * @return true if the ratio orders them
     */
    boolean ordersByResponseRatio();

    /**
     * Checks whether tasks in flight are bounded by shares; otherwise by slots.
     *
     * @return true if shares bound them
     */
    boolean usesShares();
}
