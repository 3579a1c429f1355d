package org.wagtailproxy.dispatch;

import java.util.Objects;

/**
 * Holds the settings by which a service trades response time against the number of messages.
 *
 * @param policy the dispatch policy, not null
 * @param queueLimit the number of tasks that may wait on one instance, 1 or more
 * @param patience fraction of the expected cost of starting now up to which the expected cost of
 *     waiting is accepted, 0 (never wait) to 1
 * @param remotePenalty slowdown added for a backend server in another data centre, 0 or more
 * @param overcommit slots used beyond the shares, as a percentage of a backend server's slots, 0 to
 *     100; a higher value shortens waiting but causes more refused messages
 */
public record DispatchTuning(
        PolicyKind policy, int queueLimit, double patience, double remotePenalty, int overcommit) {

    /** Validates the components. */
    public DispatchTuning {
        Objects.requireNonNull(policy, "policy");
        if (queueLimit < 1 || patience < 0 || patience > 1 || remotePenalty < 0) {
            throw new IllegalArgumentException("a tuning value is out of range");
        }
        if (overcommit < 0 || overcommit > 100) {
            throw new IllegalArgumentException("overcommit is not a percentage");
        }
    }

    /**
     * Creates dispatch settings.
     *
     * @param policy the dispatch policy, not null
     * @param queueLimit the number of tasks that may wait on one instance, 1 or more
     * @param patience fraction of the expected cost of starting now up to which the expected cost
     *     of waiting is accepted, 0 (never wait) to 1
     * @param remotePenalty slowdown added for another data centre, 0 or more
     * @param overcommit percentage of slots used beyond the shares, 0 to 100
     * @return the settings, never null
     * @throws IllegalArgumentException if a value is out of range
     */
    public static DispatchTuning of(
            PolicyKind policy,
            int queueLimit,
            double patience,
            double remotePenalty,
            int overcommit) {
        return new DispatchTuning(policy, queueLimit, patience, remotePenalty, overcommit);
    }
}
