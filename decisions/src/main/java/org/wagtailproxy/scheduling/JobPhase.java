package org.wagtailproxy.scheduling;

/** Phase of a job in a scheduler. */
public enum JobPhase {
    /** The job is not known, or it has ended. */
    UNKNOWN,
    /** No task of the job has been started. */
    WAITING,
    /** At least one task has been started, and others are waiting or the job is long-running. */
    BEGUN,
    /** Every task has been started, so the job is about to end. */
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
