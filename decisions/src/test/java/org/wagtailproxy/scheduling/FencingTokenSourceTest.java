package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;

class FencingTokenSourceTest {

    @Test
    void testTokensOfDifferentInstancesDiffer() {
        FencingTokenSource one = FencingTokenSource.of("front-cusco-2");
        FencingTokenSource other = FencingTokenSource.of("front-puno-2");
        one.observeCount(1400);
        other.observeCount(1400);
        for (int count = 0; count < 100; count++) {
            assertThat(one.next(0), is(not(other.next(0))));
        }
    }

    @Test
    void testEachTokenExceedsAllObserved() {
        FencingTokenSource tokens = FencingTokenSource.of("n1");
        FencingTokenSource other = FencingTokenSource.of("n2");
        long observed = other.next(other.next(0));
        tokens.observe(observed);
        assertThat(tokens.next(0), greaterThan(observed));
        assertThat(tokens.next(10 * observed), greaterThan(10 * observed));
    }
}
