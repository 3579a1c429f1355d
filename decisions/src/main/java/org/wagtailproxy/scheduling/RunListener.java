package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;

/** Hears what becomes of the runs on a backend server. */
interface RunListener {

    /**
     * A run has left the account.
     *
     * @param server where, not null
     * @param run which, not null
     * @param end how, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    void runEnded(BackendServer server, ServerRun run, RunEnd end, long nowNanos);

    /**
     * A run that another instance started has ended before it was accounted for.
     *
     * @param server where, not null
     * @param task which, not null
     * @param end how, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    void inheritedRunEnded(BackendServer server, TaskId task, RunEnd end, long nowNanos);

    /**
     * A backend server tells from where a task can go on after its run has ended.
     *
     * @param task which, not null
     * @param checkpoint the server's word for it, not empty
     */
    void checkpointReported(TaskId task, String checkpoint);

    /**
     * Returns the change of a stored job that has to be saved before the server may forget its
     * ends.
     *
     * @param job the job, not null
     * @return the number of the change, {@link EndAcknowledgements#UNREAD} if it is not known yet
     *     whether the job is a stored one, none if nothing has to be saved
     */
    Option<Long> unsavedChange(JobId job);

    /**
     * Offers a run that another instance started.
     *
     * @param server where, not null
     * @param report the run, not null
     * @param reportedNanos when the server reported it, by the monotonic time
     * @param nowNanos the monotonic time in nanoseconds
     * @return the run to account for, null if its job is not known
     */
    ServerRun adopt(BackendServer server, RunReport report, long reportedNanos, long nowNanos);

    /**
     * Another instance has given orders with a higher fencing token.
     *
     * @param server where, not null
     */
    void fenced(BackendServer server);
}
