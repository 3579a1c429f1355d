package org.wagtailproxy.configuration;

import java.time.Duration;
import java.util.Objects;
import org.wagtailproxy.dispatch.DispatchTuning;

/**
 * Represents the settings that operators declare for a service.
 *
 * @param tuning the dispatch settings, not null
 * @param taskTimeout the maximum run time of one task, positive
 * @param queueTimeout the maximum time that one task waits, positive
 * @param maximumDeclared the maximum declared run time that is accepted, positive
 * @param objective the service-level objective, not null
 */
public record ServiceSpec(
        DispatchTuning tuning,
        Duration taskTimeout,
        Duration queueTimeout,
        Duration maximumDeclared,
        Objective objective) {

    /** Validates the components. */
    public ServiceSpec {
        Objects.requireNonNull(tuning, "tuning");
        Objects.requireNonNull(objective, "objective");
        if (taskTimeout.isNegative() || queueTimeout.isNegative()) {
            throw new IllegalArgumentException("a time is negative");
        }
        if (maximumDeclared.compareTo(taskTimeout) > 0) {
            throw new IllegalArgumentException("maximumDeclared is longer than taskTimeout");
        }
    }

    /**
     * Creates a specification.
     *
     * @param tuning the dispatch settings, not null
     * @param taskTimeout the maximum run time of one task
     * @param queueTimeout the maximum time that one task waits
     * @param maximumDeclared the maximum declared run time, at most {@code taskTimeout}
     * @param objective the service-level objective, not null
     * @return the specification, never null
     * @throws IllegalArgumentException if a value is out of range
     */
    public static ServiceSpec of(
            DispatchTuning tuning,
            Duration taskTimeout,
            Duration queueTimeout,
            Duration maximumDeclared,
            Objective objective) {
        return new ServiceSpec(tuning, taskTimeout, queueTimeout, maximumDeclared, objective);
    }
}
