package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Forwards jobs from this data centre's leader to the leaders of other data centres. */
interface JobForwarder {

    /**
     * Forwards a job if another data centre has free capacity for it.
     *
     * @return false if no data centre has
     */
    boolean forward(WorkSpec spec, PendingJob pendingJob);

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
