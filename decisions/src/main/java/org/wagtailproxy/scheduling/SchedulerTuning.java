package org.wagtailproxy.scheduling;

/**
 * How a scheduler weighs.
 *
 * @param responseDelayMillis time that an answer takes to its caller, in milliseconds
 * @param remoteFactor how many times as long a task takes away from the rack of its data
 * @param minHealthyOneIn ejected servers are used after all when fewer than one in this many of the
 *     servers are sound
 * @param stallFactor how many times its expected run time a task may take before it is moved
 * @param stallMillis time in milliseconds that it may take beyond that
 * @param earlyRefusalShare share of its objective that a job may wait before it is refused unless
 *     it will be placed in time
 * @param maxRetryMillis the longest time that a refused caller is told to stay away, in
 *     milliseconds
 */
public record SchedulerTuning(
        long responseDelayMillis,
        double remoteFactor,
        int minHealthyOneIn,
        double stallFactor,
        long stallMillis,
        double earlyRefusalShare,
        long maxRetryMillis) {

    /** Presets; docs/POLICY.md gives the rounds in which they were measured. */
    private static final SchedulerTuning DEFAULTS =
            new SchedulerTuning(4, 2, 2, 3.0, 150, 0.25, 2000);

    /**
     * Returns the presets.
     *
     * @return the presets, never null
     */
    public static SchedulerTuning defaults() {
        return DEFAULTS;
    }

    /**
     * Sets how much longer a task takes away from the rack of its data.
     *
     * @param factor how many times as long
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
                maxRetryMillis);
    }
}
