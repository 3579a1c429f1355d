package org.wagtailproxy.configuration;

/**
 * Represents a service-level objective: the fraction of jobs that must be complete within a time.
 *
 * @param latencyMilliseconds the time from acceptance to end, 1 or more
 * @param targetPerMille the number of jobs of a thousand that must meet it, 1 to 999
 */
public record Objective(long latencyMilliseconds, int targetPerMille) {

    /** Validates the components. */
    public Objective {
        if (latencyMilliseconds < 1 || targetPerMille < 1 || targetPerMille > 999) {
            throw new IllegalArgumentException("an objective value is out of range");
        }
    }

    /**
     * Creates an objective.
     *
     * @param latencyMilliseconds the time in milliseconds, 1 or more
     * @param targetPerMille jobs of a thousand, 1 to 999
     * @return the objective, never null
     * @throws IllegalArgumentException if a value is out of range
     */
    public static Objective of(long latencyMilliseconds, int targetPerMille) {
        return new Objective(latencyMilliseconds, targetPerMille);
    }
}
