package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Optional;

/** Selects the backend server for a task, or leaves the task queued. */
interface DispatchPolicy {

    /**
     * Selects one of the backend servers that have free capacity.
     *
     * @param free backend servers that may be sent a task now, not empty
     * @param all the local backend servers of the service that are neither leaving nor ejected
     * @param queued the number of queued tasks, including the one to place
     * @return the backend server, or empty if waiting is better
     */
    Optional<BackendServerState> choose(
            List<BackendServerState> free, List<BackendServerState> all, int queued);

    /**
     * Checks whether tasks are ordered by highest response ratio; otherwise they are ordered by
     * arrival.
     *
     * @return true if they are ordered by response ratio
     */
    boolean ordersByResponseRatio();

    /**
     * Checks whether the tasks in flight on a backend server are limited by this instance's share;
     * otherwise they are limited by its slots.
     *
     * @return true if they are limited by shares
     */
    boolean usesShares();
}
