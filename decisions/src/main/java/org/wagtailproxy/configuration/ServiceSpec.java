package org.wagtailproxy.configuration;

import java.time.Duration;
import java.util.Objects;
import org.wagtailproxy.dispatch.DispatchTuning;

/**
 * What operators declare of a service.
 *
 * @param tuning how dispatch weighs, not null
 * @param taskTimeout the longest run of one task, positive
 * @param queueTimeout the longest wait of one task, positive
 * @param maximumDeclared the longest declared run time that any backend server takes, positive
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
     * @param tuning how dispatch weighs, not null
     * @param taskTimeout the longest run of one task
     * @param queueTimeout the longest wait of one task
     * @param maximumDeclared the longest declared run time, at most {@code taskTimeout}
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
