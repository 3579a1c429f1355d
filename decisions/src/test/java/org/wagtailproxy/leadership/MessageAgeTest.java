package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class MessageAgeTest {

    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(100);

    private final MessageAge mAge = new MessageAge();

    @Test
    void testRequestThatWasHeldUpIsOutdated() {
        assertThat(mAge.isOutdated(clockMillisAgo(0), NOW_NANOS), is(false));
        assertThat(mAge.isOutdated(clockMillisAgo(520), NOW_NANOS), is(false));
        assertThat(mAge.isOutdated(clockMillisAgo(521), NOW_NANOS), is(true));
    }

    @Test
    void testRequestToEarlierProcessIsOutdated() {
        assertThat(mAge.isOutdated(clockMillisAgo(-1), NOW_NANOS), is(true));
    }

    @Test
    void testRequestFromBeforeSuspensionIsOutdated() {
        mAge.onSuspension(NOW_NANOS);
        assertThat(mAge.isOutdated(clockMillisAgo(1), NOW_NANOS), is(true));
        assertThat(mAge.isOutdated(clockMillisAgo(0), NOW_NANOS), is(false));
    }

    @Test
    void testRequestOfSenderWithoutClockIsNotOutdated() {
        assertThat(mAge.isOutdated(MessageAge.UNKNOWN_CLOCK_NANOS, NOW_NANOS), is(false));
    }

    private static long clockMillisAgo(long millis) {
        return NOW_NANOS - TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
