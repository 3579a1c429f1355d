package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Forwards jobs from this data centre's leader to the leaders of other data centres. */
interface JobForwarder {

    /**
     * Forwards a job if another data centre has free capacity for it or, if this one is evacuated,
     * if another one can start it in time.
     *
     * @param evacuated true if the backend servers of this data centre get no new tasks
     * @return false if no data centre has
     */
    boolean forward(WorkSpec spec, PendingJob pendingJob, boolean evacuated);

    /** Updates the data centres that take no jobs, since their servers get no new tasks. */
    void updateEvacuations(Evacuations evacuations);

    /**
     * Checks whether it is known that no other data centre can start a job in time.
     *
     * @return false if one may, or if that is not known
     */
    boolean isUnattainableElsewhere(WorkSpec spec, PendingJob pendingJob);

    /**
     * Adds a home instance that waits for the outcome of a forwarded job. The forwarding ends if
     * the home reports that an earlier leader may have started the job.
     *
     * @param progress what the home knows of the job
     * @param answer receives the outcome
     * @return false if the job was not forwarded
     */
    boolean join(
            JobId job,
            HomeProcess home,
            WorkProgress progress,
            Consumer<Either<WorkProgress, WorkOutcome>> answer);

    /** Withdraws a job for one home instance; the job is stopped if no other one waits for it. */
    void withdraw(JobId job, HomeProcess home);

    /**
     * Cancels a forwarded job. Its home instances receive the outcome "abandoned".
     *
     * @return false if the job was not forwarded
     */
    boolean cancel(JobId job);
}
