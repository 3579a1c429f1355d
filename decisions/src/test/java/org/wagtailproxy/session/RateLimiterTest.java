package org.wagtailproxy.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RateLimiterTest {

    private static final long SECOND = 1_000_000_000L;

    @Test
    void testBurstIsBoundedByThePermitsOfOneSecond() {
        RateLimiter limiter = RateLimiter.of(2, 0);
        assertThat(limiter.tryAcquire(10 * SECOND), is(true));
        assertThat(limiter.tryAcquire(10 * SECOND), is(true));
        assertThat(limiter.tryAcquire(10 * SECOND), is(false));
    }

    @Test
    void testPermitsAreRefilledOverTime() {
        RateLimiter limiter = RateLimiter.of(1, 0);
        assertThat(limiter.tryAcquire(0), is(true));
        assertThat(limiter.tryAcquire(SECOND / 2), is(false));
        assertThat(limiter.tryAcquire(SECOND), is(true));
    }
}
