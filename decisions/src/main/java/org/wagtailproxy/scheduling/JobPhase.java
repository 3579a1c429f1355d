package org.wagtailproxy.scheduling;

/** How far a scheduler is with a job. */
public enum JobPhase {
    /** It is not known, or has ended. */
    UNKNOWN,
    /** No task of it has been started. */
    WAITING,
    /** Some tasks have been started, others wait, or it does not end by itself. */
    BEGUN,
    /** Every task has been started, so that its end is near. */
    ENDING;

    static JobPhase of(JobLedger job) {
        if (job == null || job.ended()) {
            return UNKNOWN;
        }
        if (!job.begun()) {
            return WAITING;
        }
        return job.waiting() == 0 && !job.mSpec.lasting() ? ENDING : BEGUN;
    }
}
