package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {

    private static final long MILLI = 1_000_000;

    private final SuspensionDetector mWatch = new SuspensionDetector(50 * MILLI, 1_000_000);

    @Test
    void testClocksThatGoTogetherAreNoSuspension() {
        assertThat(mWatch.mayHaveBeenSuspended(5_050 * MILLI, 1_005_000), is(false));
        assertThat(mWatch.mayHaveBeenSuspended(9_050 * MILLI, 1_009_100), is(false));
    }

    @Test
    void testTimeOfDayThatRunsAheadIsTakenForASuspensionOnce() {
        assertThat(mWatch.mayHaveBeenSuspended(150 * MILLI, 1_003_100), is(true));
        assertThat(mWatch.mayHaveBeenSuspended(160 * MILLI, 1_003_110), is(false));
    }

    @Test
    void testTimeOfDayThatJumpsBackIsNoSuspension() {
        assertThat(mWatch.mayHaveBeenSuspended(150 * MILLI, 998_000), is(false));
    }

    @Test
    void testFreezeIsLeftToTheMonotonicClock() {
        assertThat(mWatch.mayHaveBeenSuspended(8_050 * MILLI, 1_008_000), is(false));
    }
}
