package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/**
 * Guards against pairs of faults that violate a guarantee although each fault alone does not. This
 * is a short run with a fixed seed; bin/fault-run makes long ones.
 */
class FaultRunIT {

    private static final long SEED = 20261204;
    private static final int ROUNDS = 6;

    @Test
    void testPairsOfFaultsBreakNoPromise() throws Exception {
        System.out.println("seed " + SEED);
        assertThat(FaultRun.run(SEED, ROUNDS), is(empty()));
    }
}
