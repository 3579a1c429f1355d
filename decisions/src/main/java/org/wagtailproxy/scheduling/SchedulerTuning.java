package org.wagtailproxy.scheduling;

/**
 * Defines the tuning values of a scheduler.
 *
 * @param responseDelayMillis time that a response takes to reach its caller, in milliseconds
 * @param remoteFactor factor on the run time of a task that runs outside the rack of its data
 * @param minHealthyOneIn ejected servers are used as well when fewer than one in this many of the
 *     servers that accept tasks are healthy
 * @param stallFactor factor on the expected run time of a task after which its run may count as
 *     stalled
 * @param stallMillis time in milliseconds that a run may take beyond that
 * @param earlyRefusalShare share of its objective during which a job is refused if it is not
 *     expected to be placed in time
 * @param maxRetryMillis maximum retry delay that is reported to a refused caller, in milliseconds
 * @param drainMillis time in milliseconds after a backend server has said that it drains in which
 *     it may still be given tasks
 */
public record SchedulerTuning(
        long responseDelayMillis,
        double remoteFactor,
        int minHealthyOneIn,
        double stallFactor,
        long stallMillis,
        double earlyRefusalShare,
        long maxRetryMillis,
        long drainMillis) {

    private static final SchedulerTuning DEFAULTS =
            new SchedulerTuning(4, 2, 2, 3.0, 150, 0.25, 2000, 2000);

    /**
     * Returns the default values.
     *
     * @return the defaults, never null
     */
    public static SchedulerTuning defaults() {
        return DEFAULTS;
    }

    /**
     * Returns a copy with another factor for tasks that run outside the rack of their data.
     *
     * @param factor factor on the run time of such a task
     * @return the changed tuning, never null
     */
    public SchedulerTuning withRemoteFactor(double factor) {
        return new SchedulerTuning(
                responseDelayMillis,
                factor,
                minHealthyOneIn,
                stallFactor,
                stallMillis,
                earlyRefusalShare,
                maxRetryMillis,
                drainMillis);
    }

    /**
     * Returns a copy with another time in which draining servers may be given tasks.
     *
     * @param millis the time in milliseconds
     * @return the changed tuning, never null
     */
    public SchedulerTuning withDrainMillis(long millis) {
        return new SchedulerTuning(
                responseDelayMillis,
                remoteFactor,
                minHealthyOneIn,
                stallFactor,
                stallMillis,
                earlyRefusalShare,
                maxRetryMillis,
                millis);
    }
}
