package org.wagtailproxy.dispatch;

import java.util.Objects;

/**
 * How one service weighs response time against messages.
 *
 * @param policy the policy, not null
 * @param queueLimit how many tasks may wait on one instance, 1 or more
 * @param patience share of an expected gain that is waited for, 0 to 1
 * @param remotePenalty slowness added for a backend server in another data centre, 0 or more
 * @param overcommit slots used beyond the shares, as a percentage of a backend server's slots, 0 to
 *     100; more saves waiting and costs refused messages
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
     * Creates a tuning.
     *
     * @param policy the policy, not null
     * @param queueLimit how many tasks may wait on one instance, 1 or more
     * @param patience share of an expected gain that is waited for, 0 to 1
     * @param remotePenalty slowness added for another data centre, 0 or more
     * @param overcommit percentage of slots used beyond the shares, 0 to 100
     * @return the tuning, never null
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
