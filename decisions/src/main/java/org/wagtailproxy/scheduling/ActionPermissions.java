package org.wagtailproxy.scheduling;

/**
 * Decides what a scheduler may do at a time, by how recently this instance has confirmed what the
 * action rests on.
 */
public interface ActionPermissions {

    /** Permits everything. */
    ActionPermissions ALL = new ActionPermissions() {};

    /**
     * Checks whether tasks of stored jobs may be started, and leases of their runs extended.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return false if another instance may coordinate the stored jobs
     */
    default boolean mayRunStoredJobs(long nowNanos) {
        return true;
    }

    /**
     * Checks whether ends of stored jobs' runs may be acknowledged, so that the backend servers
     * forget them. A former coordinator that does not find the end of a run would start its task
     * again.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return false if a former coordinator may still start tasks
     */
    default boolean mayAcknowledgeStoredEnds(long nowNanos) {
        return true;
    }

    /**
     * Checks whether tasks may be placed on the backend servers that are known.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return false if some of them may drain without being known to
     */
    default boolean mayPlaceTasks(long nowNanos) {
        return true;
    }
}
