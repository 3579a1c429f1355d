package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PlacementGateTest {

    private final PlacementGate mGate = PlacementGate.of(2000);

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void testTasksArePlacedByListThatWasConfirmedWithinTheTimeForDraining() {
        mGate.onConfirmed(millis(100));
        assertThat(mGate.mayPlace(millis(1950)), is(true));
        assertThat(mGate.mayPlace(millis(1951)), is(false));
        mGate.onConfirmed(millis(1951));
        assertThat(mGate.mayPlace(millis(1960)), is(true));
    }

    /** Guards against a leader that places by an old list before the store has answered. */
    @Test
    void testNewLeaderWaitsForTheStoreButNotForLong() {
        mGate.onConfirmed(0);
        assertThat(mGate.mayPlace(millis(4000)), is(false));
        assertThat(mGate.mayPlace(millis(4700)), is(false));
        assertThat(mGate.mayPlace(millis(4701)), is(true));
    }

    /** Guards against a pause that uses up the time for which placement waits. */
    @Test
    void testPauseDoesNotCountAsWaiting() {
        mGate.onConfirmed(0);
        assertThat(mGate.mayPlace(millis(100)), is(true));
        assertThat(mGate.mayPlace(millis(9000)), is(false));
    }

    @Test
    void testTasksArePlacedByTheKnownListWhileTheStoreDoesNotAnswer() {
        mGate.onConfirmed(0);
        mGate.onStoreUnavailable();
        assertThat(mGate.mayPlace(millis(4000)), is(true));
        mGate.onConfirmed(millis(4100));
        assertThat(mGate.mayPlace(millis(9000)), is(false));
    }

    @Test
    void testListIsConfirmedAtIntervalsWhichLimitTheCallsInAnOutage() {
        mGate.onConfirmed(0);
        assertThat(mGate.takeConfirmationDue(millis(900)), is(false));
        assertThat(mGate.takeConfirmationDue(millis(901)), is(true));
        assertThat(mGate.takeConfirmationDue(millis(1200)), is(false));
        assertThat(mGate.takeConfirmationDue(millis(1202)), is(true));
        mGate.onConfirmed(millis(1202));
        assertThat(mGate.takeConfirmationDue(millis(2102)), is(false));
    }
}
