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
}
