package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.workload.DataCentreScope;

class PoolTest {

    private static final DataCentre HERE = DataCentre.of("here");
    private static final DataCentre THERE = DataCentre.of("there");

    private long mNowNanos = -7;

    @Test
    void testSmallFleetIsOnePool() {
        Pool pool = new Pool();
        assertThat(pool.update(9, false, mNowNanos), is(false));
        assertThat(pool.isSamePool(HERE, THERE), is(true));
        assertThat(pool.scope(HERE), is(DataCentreScope.ALL));
    }

    @Test
    void testLargeFleetHasAPoolForEachDataCentre() {
        Pool pool = new Pool();
        assertThat(pool.update(40, false, mNowNanos), is(true));
        assertThat(pool.isSamePool(HERE, THERE), is(false));
        assertThat(pool.isSamePool(HERE, HERE), is(true));
        assertThat(pool.scope(HERE), is(DataCentreScope.of(Set.of(HERE))));
    }

    @Test
    void testDecisionStaysWhileTheSizeIsBetweenTheLimits() {
        Pool pool = new Pool();
        pool.update(40, false, mNowNanos);
        passSeconds(100);
        pool.update(18, false, mNowNanos);
        passSeconds(100);
        assertThat(pool.update(18, false, mNowNanos), is(false));
        assertThat(pool.isSamePool(HERE, THERE), is(false));
        assertThat(pool.isMergePending(), is(false));
    }

    @Test
    void testRegistrationsThatLapseTogetherDoNotMergeADividedFleet() {
        Pool pool = new Pool();
        pool.update(40, false, mNowNanos);
        for (int outage = 0; outage < 10; outage++) {
            pool.update(0, false, mNowNanos);
            passSeconds(5);
            assertThat(pool.update(16, false, mNowNanos), is(false));
            pool.update(17, false, mNowNanos);
        }
        assertThat(pool.spansDataCentres(), is(false));
    }

    @Test
    void testDividedFleetThatStaysSmallIsMerged() {
        Pool pool = new Pool();
        pool.update(40, false, mNowNanos);
        pool.update(16, false, mNowNanos);
        passSeconds(29);
        assertThat(pool.update(16, false, mNowNanos), is(false));
        assertThat(pool.isMergePending(), is(true));
        passSeconds(1);
        assertThat(pool.update(16, false, mNowNanos), is(true));
        assertThat(pool.isSamePool(HERE, THERE), is(true));
        assertThat(pool.isMergePending(), is(false));
    }

    /** Guards against dividing a fleet whose accepted jobs then have no coordinator. */
    @Test
    void testFleetWithStoredJobsIsOnePoolWhateverItsSize() {
        Pool pool = new Pool();
        pool.update(16, true, mNowNanos);
        assertThat(pool.update(20, true, mNowNanos), is(false));
        assertThat(pool.update(300, true, mNowNanos), is(false));
        assertThat(pool.isSamePool(HERE, THERE), is(true));
        assertThat(pool.scope(HERE), is(DataCentreScope.ALL));
        assertThat(pool.isLarge(), is(true));
    }

    @Test
    void testLargeFleetIsDividedOnceItHasNoStoredJobs() {
        Pool pool = new Pool();
        pool.update(40, true, mNowNanos);
        assertThat(pool.update(40, false, mNowNanos), is(true));
        assertThat(pool.isSamePool(HERE, THERE), is(false));
    }

    @Test
    void testDividedFleetIsMergedAtOnceForStoredJobs() {
        Pool pool = new Pool();
        pool.update(40, false, mNowNanos);
        assertThat(pool.update(40, true, mNowNanos), is(true));
        assertThat(pool.isSamePool(HERE, THERE), is(true));
        assertThat(pool.isLarge(), is(true));
    }

    @Test
    void testSmallFleetIsNotLarge() {
        Pool pool = new Pool();
        pool.update(19, false, mNowNanos);
        assertThat(pool.isLarge(), is(false));
        pool.update(40, false, mNowNanos);
        pool.update(16, false, mNowNanos);
        assertThat(pool.isLarge(), is(true));
        passSeconds(30);
        pool.update(16, false, mNowNanos);
        assertThat(pool.isLarge(), is(false));
    }

    private void passSeconds(long seconds) {
        mNowNanos += TimeUnit.SECONDS.toNanos(seconds);
    }
}
