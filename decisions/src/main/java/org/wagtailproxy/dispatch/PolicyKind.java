package org.wagtailproxy.dispatch;

import java.util.random.RandomGenerator;
import org.wagtailproxy.identity.DataCentre;

/** The dispatch policies that a service can name. */
public enum PolicyKind {
    /** Baseline: backend servers in turn, bounded by local counts. */
    ROUND_ROBIN,
    /** Baseline: the better of two random backend servers by local counts. */
    TWO_RANDOM,
    /** Earliest expected completion, within shares of the slots. */
    EXPECTED_COMPLETION;

    DispatchPolicy createPolicy(DataCentre home, DispatchTuning tuning, RandomGenerator random) {
        return switch (this) {
            case ROUND_ROBIN -> new RoundRobinPolicy();
            case TWO_RANDOM -> new TwoRandomPolicy(random);
            case EXPECTED_COMPLETION ->
                    new ExpectedCompletionPolicy(home, tuning.remotePenalty(), tuning.patience());
        };
    }
}
