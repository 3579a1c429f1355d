package org.wagtailproxy.scheduling;

import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;

/**
 * Is notified of the decisions of a scheduler. Called under the scheduler's lock; implementations
 * must not block.
 */
public interface SchedulerListener {

    /**
     * Called when the outcome of a job that is not stored is known.
     *
     * @param job the id of the job, not null
     * @param outcome its outcome, not null
     */
    void jobEnded(JobId job, WorkOutcome outcome);

    /**
     * Called when a stored job has changed in a way that has to be saved.
     *
     * @param job the job in its current state, not null
     * @param changeNumber the number of the change, to be passed to {@link
     *     StoredJobScheduling#onSaved} once it is saved
     */
    void storedJobChanged(StoredJob job, long changeNumber);

    /**
     * Called when tasks of a job that an earlier leader may have started may be placed from now on.
     *
     * @param job the id of the job, not null
     * @param evidence what shows that no run of the earlier leader is active unnoticed, not null
     * @param waitedMillis the time since the job was accepted, in milliseconds
     */
    default void inheritedJobReleased(
            JobId job, InheritedJobEvidence evidence, long waitedMillis) {}

    /**
     * Called when a task has been placed on a backend server.
     *
     * @param task the task, not null
     * @param attempt the number of the attempt
     * @param server the backend server, not null
     * @param expectedMillis the expected run time in milliseconds
     */
    void taskPlaced(TaskId task, int attempt, ServerId server, long expectedMillis);

    /**
     * Called when a run of a task has ended.
     *
     * @param task the task, not null
     * @param attempt the number of the attempt
     * @param server the backend server, not null
     * @param end how the run ended, not null
     * @param tookMillis the time since the start command was created, in milliseconds
     * @param estimateMillis the run time estimated by the caller, in milliseconds
     */
    void runEnded(
            TaskId task,
            int attempt,
            ServerId server,
            RunEnd end,
            long tookMillis,
            long estimateMillis);

    /**
     * Called when a backend server lists the end of a stored job's run that is not tracked here,
     * since an earlier leader started it.
     *
     * @param task the task, not null
     * @param attempt the number of the attempt
     * @param server the backend server, not null
     * @param end how the run ended, not null
     * @param treatment what is done with the end, not null
     */
    default void storedRunEndFound(
            TaskId task, int attempt, ServerId server, RunEnd end, FoundEndTreatment treatment) {}

    /**
     * Called when the lease of a backend server is not extended from now on until it has expired,
     * because the server holds runs or ends of stored jobs that this instance may not save.
     *
     * @param server the backend server, not null
     * @param unsavedEnds the number of these ends
     */
    default void leaseWithheld(ServerId server, int unsavedEnds) {}

    /**
     * Called when a backend server is found to have started again under its id.
     *
     * @param server the backend server, not null
     * @param startedMillis when its new incarnation started, in Unix milliseconds
     */
    default void serverRestarted(ServerId server, long startedMillis) {}

    /**
     * Called when this instance has gained or lost control of a backend server.
     *
     * @param server the backend server, not null
     * @param held true if the server has accepted this instance's fencing token
     * @param token the fencing token
     */
    void serverClaimChanged(ServerId server, boolean held, long token);
}
