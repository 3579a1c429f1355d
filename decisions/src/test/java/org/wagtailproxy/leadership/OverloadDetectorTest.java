package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class OverloadDetectorTest {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 100;

    private long mNowMillis = 1000;
    private final OverloadDetector mDetector = new OverloadDetector(mNowMillis * NANOS_PER_MILLI);

    @Test
    void testLateTicksInARowShowAnOverload() {
        tick(100, 0);
        assertThat(tick(1, 300), is(false));
        assertThat(tick(1, 300), is(true));
    }

    @Test
    void testPauseOfTheProcessIsNoOverload() {
        tick(100, 0);
        assertThat(tick(1, 4000), is(false));
        assertThat(tick(100, 0), is(false));
        assertThat(tick(1, 150), is(false));
        assertThat(tick(1, 20), is(false));
        assertThat(tick(1, 150), is(false));
    }

    @Test
    void testDelaysWhileCodeIsLoadedAreNoOverload() {
        assertThat(tick(5, 400), is(false));
        tick(100, 0);
        mDetector.onWorkChanged(mNowMillis * NANOS_PER_MILLI);
        assertThat(tick(5, 400), is(false));
        assertThat(tick(8, 400), is(true));
    }

    @Test
    void testOverloadEndsAfterALongerTimeEachTime() {
        tick(100, 0);
        assertThat(tick(3, 300), is(true));
        assertThat(tick(99, 0), is(true));
        assertThat(tick(2, 0), is(false));
        assertThat(tick(3, 300), is(true));
        assertThat(tick(199, 0), is(true));
        assertThat(tick(2, 0), is(false));
    }

    private boolean tick(int ticks, long delayMillis) {
        boolean overloaded = false;
        for (int tick = 0; tick < ticks; tick++) {
            long dueMillis = mNowMillis + TICK_MILLIS;
            mNowMillis = dueMillis + delayMillis;
            overloaded =
                    mDetector.onTick(dueMillis * NANOS_PER_MILLI, mNowMillis * NANOS_PER_MILLI);
        }
        return overloaded;
    }
}
