package org.wagtailproxy.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RateLimiterTest {

    private static final long SECOND = 1_000_000_000L;

    @Test
    void testBurstIsBoundedByThePermitsOfOneSecond() {
        RateLimiter budget = RateLimiter.of(2, 0);
        assertThat(budget.tryAcquire(10 * SECOND), is(true));
        assertThat(budget.tryAcquire(10 * SECOND), is(true));
        assertThat(budget.tryAcquire(10 * SECOND), is(false));
    }

    @Test
    void testPermitsAreRefilledOverTime() {
        RateLimiter budget = RateLimiter.of(1, 0);
        assertThat(budget.tryAcquire(0), is(true));
        assertThat(budget.tryAcquire(SECOND / 2), is(false));
        assertThat(budget.tryAcquire(SECOND), is(true));
    }
}
