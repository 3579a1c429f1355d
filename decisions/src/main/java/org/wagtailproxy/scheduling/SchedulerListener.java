package org.wagtailproxy.scheduling;

import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;

/** Hears the decisions of a scheduler. Called under the scheduler's lock; must not block. */
public interface SchedulerListener {

    /**
     * A job has its outcome.
     *
     * @param job which, not null
     * @param outcome its outcome, not null
     */
    void jobEnded(JobId job, WorkOutcome outcome);

    /**
     * A stored job has changed in a way that has to be saved.
     *
     * @param job the job as it is now, not null
     * @param change the number of the change, to be told back once it is saved
     */
    void storedJobChanged(StoredJob job, long change);

    /**
     * A task was placed.
     *
     * @param task which, not null
     * @param attempt which of its starts
     * @param server where, not null
     * @param expectedMillis how long it is expected to run, in milliseconds
     */
    void taskPlaced(TaskId task, int attempt, ServerId server, long expectedMillis);

    /**
     * A run has ended.
     *
     * @param task which, not null
     * @param attempt which of its starts
     * @param server where, not null
     * @param end how, not null
     * @param tookMillis time since it was ordered, in milliseconds
     * @param estimateMillis how long its caller estimated it to run, in milliseconds
     */
    void runEnded(
            TaskId task,
            int attempt,
            ServerId server,
            RunEnd end,
            long tookMillis,
            long estimateMillis);

    /**
     * The claim to a backend server has changed.
     *
     * @param server which, not null
     * @param held true if this instance gives orders there now
     * @param token the fencing token
     */
    void serverClaimChanged(ServerId server, boolean held, long token);
}
