package org.wagtailproxy.scheduling;

/**
 * Decides what a scheduler may do at a time, by how recently this instance has confirmed what the
 * action rests on.
 */
public interface ActionPermissions {

    /** Permits everything. */
    ActionPermissions ALL = nowNanos -> true;

    /**
     * Checks whether tasks of stored jobs may be started, and leases of their runs extended.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return false if another instance may coordinate the stored jobs
     */
    boolean mayRunStoredJobs(long nowNanos);
}
