package org.wagtailproxy.dispatch;

import java.util.random.RandomGenerator;
import org.wagtailproxy.identity.DataCentre;

/** Lists the dispatch policies that a service can select. */
public enum PolicyKind {
    /** Baseline: backend servers in turn, limited by the tasks in flight of this instance. */
    ROUND_ROBIN,
    /**
     * Baseline: of two random backend servers, the one with fewer tasks in flight of this instance.
     */
    TWO_RANDOM,
    /** Earliest expected completion, limited by this instance's share of the slots. */
    EXPECTED_COMPLETION;

    DispatchPolicy createPolicy(
            DataCentre dataCentre, DispatchTuning tuning, RandomGenerator random) {
        return switch (this) {
            case ROUND_ROBIN -> new RoundRobinPolicy();
            case TWO_RANDOM -> new TwoRandomPolicy(random);
            case EXPECTED_COMPLETION ->
                    new ExpectedCompletionPolicy(
                            dataCentre, tuning.remotePenalty(), tuning.patience());
        };
    }
}
