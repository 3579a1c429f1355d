package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Passes jobs on to other data centres. */
interface JobForwarder {

    /** Forwards a job if there is room elsewhere; returns false if there is none. */
    boolean forward(WorkSpec spec, PendingJob pendingJob);

    /** Adds an instance that waits for a forwarded job; false if the job is not forwarded. */
    boolean join(JobId job, InstanceName home, Consumer<Either<WorkProgress, WorkOutcome>> answer);

    /** Gives up the interest of an instance; without any interest the job is stopped. */
    void withdraw(JobId job, InstanceName home);
}
