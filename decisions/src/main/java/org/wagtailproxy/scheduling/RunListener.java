package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;

/**
 * Is notified of events of the runs on a backend server. Decides for their jobs which orphaned runs
 * are adopted and which ends must not be acknowledged yet.
 */
interface RunListener {

    /**
     * Records the end of a tracked run in its job.
     *
     * @param server the server that ran it, not null
     * @param run the run, not null
     * @param end how it ended, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    void runEnded(BackendServer server, ServerRun run, RunEnd end, long nowNanos);

    /**
     * Records the end of a run that an earlier leader started and no job here had adopted.
     *
     * @param server the server that ran it, not null
     * @param task the task, not null
     * @param attempt the number of the run's attempt
     * @param end how the run ended, not null
     * @param listedNanos when the server first listed the end, as monotonic time in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    void inheritedRunEnded(
            BackendServer server,
            TaskId task,
            int attempt,
            RunEnd end,
            long listedNanos,
            long nowNanos);

    /**
     * Records the checkpoint from which a task can be resumed after its run has ended.
     *
     * @param task the task, not null
     * @param checkpoint the checkpoint as the server reported it, not empty
     */
    void checkpointReported(TaskId task, String checkpoint);

    /**
     * Returns the change of a stored job that has to be saved before the end of one of its runs may
     * be acknowledged.
     *
     * @param job the job, not null
     * @param attempt the number of the run's attempt
     * @param listedNanos when the server first listed the run or its end, as monotonic time in
     *     nanoseconds
     * @return the number of the change, {@link EndAcknowledgements#UNREAD} if the job may be a
     *     stored one that has not been read yet, none if nothing has to be saved
     */
    Option<Long> unsavedChange(JobId job, int attempt, long listedNanos);

    /**
     * Adopts an orphaned run if its job is known here and accepts it.
     *
     * @param server the server that runs it, not null
     * @param report the run, not null
     * @param reportedNanos when the server first reported it, as monotonic time in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     * @return the run to track, null if it is not adopted
     */
    ServerRun adopt(BackendServer server, RunReport report, long reportedNanos, long nowNanos);

    /**
     * Called when the lease is not extended from now on until it has expired, because the server
     * holds runs or ends of stored jobs that this instance may not save.
     *
     * @param server the server, not null
     * @param unsavedEnds the number of these ends
     */
    void leaseWithheld(BackendServer server, int unsavedEnds);

    /**
     * Called when the server is found to have started again under its id.
     *
     * @param server the server, not null
     * @param startedMillis when its new incarnation started, in Unix milliseconds
     */
    void restarted(BackendServer server, long startedMillis);

    /**
     * Called when the claim is lost: another instance has sent commands with a higher fencing
     * token.
     *
     * @param server the server, not null
     */
    void fenced(BackendServer server);
}
