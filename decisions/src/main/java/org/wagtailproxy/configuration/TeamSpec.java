package org.wagtailproxy.configuration;

/**
 * Represents the settings that operators declare for a team.
 *
 * @param quota the maximum number of its tasks in flight over all instances, 1 or more
 * @param weight its weight relative to other teams, 1 or more
 * @param queueLimit the maximum number of its tasks that wait on one instance, 1 or more
 */
public record TeamSpec(int quota, int weight, int queueLimit) {

    /** Validates the components. */
    public TeamSpec {
        if (quota < 1 || weight < 1 || queueLimit < 1) {
            throw new IllegalArgumentException("a team value is below 1");
        }
    }

    /**
     * Creates a specification.
     *
     * @param quota the maximum number of its tasks in flight over all instances, 1 or more
     * @param weight its weight relative to other teams, 1 or more
     * @param queueLimit the maximum number of its tasks that wait on one instance, 1 or more
     * @return the specification, never null
     * @throws IllegalArgumentException if a value is out of range
     */
    public static TeamSpec of(int quota, int weight, int queueLimit) {
        return new TeamSpec(quota, weight, queueLimit);
    }
}
