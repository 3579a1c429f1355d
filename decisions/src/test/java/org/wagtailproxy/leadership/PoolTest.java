package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;

class PoolTest {

    private static final DataCentre HERE = DataCentre.of("here");
    private static final DataCentre THERE = DataCentre.of("there");

    @Test
    void testSmallFleetIsOnePool() {
        Pool pool = new Pool();
        pool.update(9);
        assertThat(pool.isSamePool(HERE, THERE), is(true));
    }

    @Test
    void testLargeFleetHasAPoolForEachDataCentre() {
        Pool pool = new Pool();
        pool.update(40);
        assertThat(pool.isSamePool(HERE, THERE), is(false));
        assertThat(pool.isSamePool(HERE, HERE), is(true));
    }

    @Test
    void testDecisionStaysWhileTheSizeIsBetweenTheLimits() {
        Pool pool = new Pool();
        pool.update(40);
        pool.update(18);
        assertThat(pool.isSamePool(HERE, THERE), is(false));
        pool.update(16);
        assertThat(pool.isSamePool(HERE, THERE), is(true));
    }
}
