package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
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

    @Test
    void testRequestThatWasHeldUpDoesNotCountAsSentLately() {
        assertThat(sentMillisAgo(clockMillisAgo(900), 100), is(800L));
        assertThat(sentMillisAgo(clockMillisAgo(900), 900), is(0L));
        assertThat(sentMillisAgo(clockMillisAgo(900), 901), is(0L));
        assertThat(sentMillisAgo(clockMillisAgo(900), Long.MAX_VALUE), is(0L));
        assertThat(sentMillisAgo(clockMillisAgo(900), -1), is(900L));
    }

    @Test
    void testRequestToEarlierProcessOrFromBeforeSuspensionDoesNotCountAsSentLately() {
        assertThat(sentMillisAgo(clockMillisAgo(-1), 0), is(greaterThan(1_000_000L)));
        mAge.onSuspension(NOW_NANOS);
        assertThat(sentMillisAgo(clockMillisAgo(1), 1), is(greaterThan(1_000_000L)));
        assertThat(sentMillisAgo(clockMillisAgo(0), 0), is(0L));
    }

    @Test
    void testRequestOfSenderWithoutClockCountsFromItsReceipt() {
        assertThat(sentMillisAgo(MessageAge.UNKNOWN_CLOCK_NANOS, 0), is(0L));
    }

    private long sentMillisAgo(long clockNanos, long clockAgeMillis) {
        long sentNanos = mAge.sentNanos(clockNanos, clockAgeMillis, NOW_NANOS);
        return TimeUnit.NANOSECONDS.toMillis(NOW_NANOS - sentNanos);
    }

    private static long clockMillisAgo(long millis) {
        return NOW_NANOS - TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
