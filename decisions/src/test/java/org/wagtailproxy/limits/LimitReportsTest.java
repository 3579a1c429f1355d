package org.wagtailproxy.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against clients that flood the log by exceeding a limit again and again. */
class LimitReportsTest {

    private final LimitReports mReports = new LimitReports();

    private Option<Long> record(ExceededLimit limit, long seconds) {
        return mReports.record(limit, TimeUnit.SECONDS.toNanos(seconds));
    }

    @Test
    void testLimitIsLoggedOnceInTenSecondsWithTheCountSince() {
        assertThat(record(ExceededLimit.MEMORY, 0), is(Option.some(1L)));
        for (int second = 1; second < 10; second++) {
            assertThat(record(ExceededLimit.MEMORY, second), is(Option.none()));
        }
        assertThat(record(ExceededLimit.MEMORY, 10), is(Option.some(10L)));
    }

    @Test
    void testOtherLimitIsLoggedAtOnce() {
        record(ExceededLimit.MEMORY, 0);
        assertThat(record(ExceededLimit.READ_AHEAD, 1), is(Option.some(1L)));
    }
}
