package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class SuspensionWatchTest {

    private static final long MILLI = 1_000_000;

    private final SuspensionWatch mWatch = new SuspensionWatch(50 * MILLI, 1_000_000);

    @Test
    void testClocksThatGoTogetherAreNoSuspension() {
        assertThat(mWatch.suspects(5_050 * MILLI, 1_005_000), is(false));
        assertThat(mWatch.suspects(9_050 * MILLI, 1_009_100), is(false));
    }

    @Test
    void testTimeOfDayThatRunsAheadIsTakenForASuspensionOnce() {
        assertThat(mWatch.suspects(150 * MILLI, 1_003_100), is(true));
        assertThat(mWatch.suspects(160 * MILLI, 1_003_110), is(false));
    }

    @Test
    void testTimeOfDayThatJumpsBackIsNoSuspension() {
        assertThat(mWatch.suspects(150 * MILLI, 998_000), is(false));
    }

    @Test
    void testFreezeIsLeftToTheMonotonicClock() {
        assertThat(mWatch.suspects(8_050 * MILLI, 1_008_000), is(false));
    }
}
