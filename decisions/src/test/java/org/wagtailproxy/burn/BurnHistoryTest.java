package org.wagtailproxy.burn;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class BurnHistoryTest {

    @Test
    void testWindowsCountOnlyWhatTheyCover() {
        BurnHistory history = BurnHistory.of();
        history.record(false, 0);
        history.record(true, Duration.ofMinutes(30).toNanos());
        long now = Duration.ofMinutes(31).toNanos();
        assertThat(history.count(BurnWindow.FIVE_MINUTES, now), is(BurnCount.of(1, 0)));
        assertThat(history.count(BurnWindow.ONE_HOUR, now), is(BurnCount.of(1, 1)));
    }

    @Test
    void testOldMinutesAreReplacedByNewOnes() {
        BurnHistory history = BurnHistory.of();
        history.record(false, 0);
        long later = Duration.ofMinutes(361).toNanos();
        history.record(true, later);
        assertThat(history.count(BurnWindow.SIX_HOURS, later), is(BurnCount.of(1, 0)));
    }

    @Test
    void testRateOfOneUsesTheBudgetUpExactly() {
        assertThat(BurnCount.of(990, 10).burnRate(990), is(closeTo(1, 1e-9)));
    }
}
