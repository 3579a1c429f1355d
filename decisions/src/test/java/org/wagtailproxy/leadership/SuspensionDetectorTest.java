package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SuspensionDetector mDetector =
            new SuspensionDetector(50 * NANOS_PER_MILLI, 1_000_000);

    @Test
    void testClocksThatAdvanceTogetherAreNoSuspension() {
        assertThat(mDetector.mayHaveBeenSuspended(5_050 * NANOS_PER_MILLI, 1_005_000), is(false));
        assertThat(mDetector.mayHaveBeenSuspended(9_050 * NANOS_PER_MILLI, 1_009_100), is(false));
    }

    @Test
    void testTimeOfDayThatJumpsAheadIsReportedOnce() {
        assertThat(mDetector.mayHaveBeenSuspended(150 * NANOS_PER_MILLI, 1_003_100), is(true));
        assertThat(mDetector.mayHaveBeenSuspended(160 * NANOS_PER_MILLI, 1_003_110), is(false));
    }

    @Test
    void testTimeOfDayThatJumpsBackIsNoSuspension() {
        assertThat(mDetector.mayHaveBeenSuspended(150 * NANOS_PER_MILLI, 998_000), is(false));
    }

    @Test
    void testProcessPauseIsNoSuspension() {
        assertThat(mDetector.mayHaveBeenSuspended(8_050 * NANOS_PER_MILLI, 1_008_000), is(false));
    }

    @Test
    void testShortSuspensionsInARowAddUp() {
        assertThat(mDetector.mayHaveBeenSuspended(100 * NANOS_PER_MILLI, 1_000_350), is(false));
        assertThat(mDetector.mayHaveBeenSuspended(150 * NANOS_PER_MILLI, 1_000_700), is(true));
        assertThat(mDetector.mayHaveBeenSuspended(200 * NANOS_PER_MILLI, 1_001_050), is(false));
    }

    @Test
    void testSlowAdjustmentOfTheTimeOfDayIsNoSuspension() {
        for (int second = 1; second <= 20; second++) {
            long nanos = (50 + second * 1_001) * NANOS_PER_MILLI;
            boolean suspected = mDetector.mayHaveBeenSuspended(nanos, 1_000_000 + second * 1_101);
            assertThat(suspected, is(false));
        }
    }

    @Test
    void testSuspensionAfterAStepBackIsReported() {
        assertThat(mDetector.mayHaveBeenSuspended(150 * NANOS_PER_MILLI, 998_000), is(false));
        assertThat(mDetector.mayHaveBeenSuspended(160 * NANOS_PER_MILLI, 998_410), is(true));
    }
}
