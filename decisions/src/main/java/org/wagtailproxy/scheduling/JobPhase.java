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

    static JobPhase of(ScheduledJob job) {
        if (job == null || job.isEnded()) {
            return UNKNOWN;
        }
        if (!job.isStarted()) {
            return WAITING;
        }
        return job.waitingTasks() == 0 && !job.mSpec.longRunning() ? ENDING : BEGUN;
    }
}
