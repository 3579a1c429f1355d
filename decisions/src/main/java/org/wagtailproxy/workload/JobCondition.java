package org.wagtailproxy.workload;

/** Condition of a stored job, as an instance reports it to callers. */
public enum JobCondition {
    /** No instance coordinates the stored jobs at the moment. */
    UNAVAILABLE,
    /** No such job is stored. */
    GONE,
    /** No task of the job has been started. */
    QUEUED,
    /** At least one task of the job has been started. */
    RUNNING,
    /** Every task is done. */
    COMPLETE,
    /** A task has reached the maximum number of failures of its queue. */
    FAILED,
    /** The job has been cancelled by its caller. */
    CANCELLED
}
