package org.wagtailproxy.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RateBudgetTest {

    private static final long SECOND = 1_000_000_000L;

    @Test
    void testBurstIsBoundedByOneSecondsWorth() {
        RateBudget budget = RateBudget.of(2, 0);
        assertThat(budget.trySpend(10 * SECOND), is(true));
        assertThat(budget.trySpend(10 * SECOND), is(true));
        assertThat(budget.trySpend(10 * SECOND), is(false));
    }

    @Test
    void testBudgetIsEarnedBackWithTime() {
        RateBudget budget = RateBudget.of(1, 0);
        assertThat(budget.trySpend(0), is(true));
        assertThat(budget.trySpend(SECOND / 2), is(false));
        assertThat(budget.trySpend(SECOND), is(true));
    }
}
