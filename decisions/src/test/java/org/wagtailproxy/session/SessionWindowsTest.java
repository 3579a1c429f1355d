package org.wagtailproxy.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SessionWindowsTest {

    private static final long MINUTE = Duration.ofMinutes(1).toNanos();
    private static final SessionWindows WINDOWS = SessionWindows.of(0, Duration.ofMinutes(1), 4);

    @Test
    void testCurrentAndLastWindowAcceptNames() {
        assertThat(WINDOWS.state(5, 5 * MINUTE), is(WindowState.ACCEPTING));
        assertThat(WINDOWS.state(4, 5 * MINUTE), is(WindowState.ACCEPTING));
    }

    @Test
    void testOlderWindowIsRememberedButAcceptsNoNames() {
        assertThat(WINDOWS.state(3, 5 * MINUTE), is(WindowState.CLOSED));
    }

    @Test
    void testOldWindowIsForgotten() {
        assertThat(WINDOWS.state(1, 5 * MINUTE), is(WindowState.FORGOTTEN));
    }

    @Test
    void testWindowOfTheFutureWasNeverIssued() {
        assertThat(WINDOWS.state(6, 5 * MINUTE), is(WindowState.NEVER_ISSUED));
    }

    @Test
    void testRetentionNotLongerThanAcceptanceIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> SessionWindows.of(0, Duration.ofMinutes(1), 2));
    }

    /**
     * Guards against a name that is accepted again after its window was forgotten, in any order of
     * submissions and sweeps.
     */
    @Property(tries = 300, seed = "20261204")
    void testForgettingNeverLetsANameStartTwice(@ForAll long seed) {
        Random random = new Random(seed);
        Set<Long> remembered = new HashSet<>();
        Set<Long> accepted = new HashSet<>();
        long nowNanos = 0;
        for (int step = 0; step < 200; step++) {
            nowNanos += random.nextInt(40) * (MINUTE / 20);
            long currentWindow = WINDOWS.currentWindow(nowNanos);
            long window = Math.max(0, currentWindow - random.nextInt(7));
            long sweepNanos = nowNanos;
            if (random.nextBoolean()) {
                remembered.removeIf(
                        each -> WINDOWS.state(each, sweepNanos) == WindowState.FORGOTTEN);
            }
            boolean starts =
                    !remembered.contains(window)
                            && WINDOWS.state(window, nowNanos) == WindowState.ACCEPTING;
            if (starts) {
                assertThat(accepted.add(window), is(not(false)));
                remembered.add(window);
            }
        }
    }
}
