package org.wagtailproxy.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import org.junit.jupiter.api.Test;

/** Tests the turns of connections whose clients send without end, beside ordinary ones. */
class ConnectionTurnsTest {

    private static final int TURN_BYTES = 16_384;
    private static final int CROWD = 1000;

    @Test
    void testPassEndsWhenItsBudgetIsSpent() {
        ConnectionTurns<String> turns = ConnectionTurns.of(100);
        assertThat(turns.hasBudget(), is(true));
        turns.spend(99);
        assertThat(turns.hasBudget(), is(true));
        turns.spend(1);
        assertThat(turns.hasBudget(), is(false));
        turns.startPass();
        assertThat(turns.hasBudget(), is(true));
    }

    @Test
    void testArrivalsLeaveHalfOfTheBudgetToThoseThatWait() {
        ConnectionTurns<String> turns = ConnectionTurns.of(100);
        turns.spend(49);
        assertThat(turns.hasBudgetForArrivals(), is(true));
        turns.spend(1);
        assertThat(turns.hasBudgetForArrivals(), is(false));
        assertThat(turns.hasBudget(), is(true));
    }

    @Test
    void testOrdinaryConnectionWaitsForNoMoreThanOneOfACrowd() {
        ConnectionTurns<Integer> turns = ConnectionTurns.of(8L * TURN_BYTES);
        for (int number = 0; number < CROWD; number++) {
            turns.add(number, false);
        }
        turns.next();
        turns.add(CROWD, true);
        List<Integer> served = List.of(turns.next(), turns.next());
        assertThat(served.contains(CROWD), is(true));
    }

    @Test
    void testCrowdOfNewcomersDoesNotKeepOthersWaiting() {
        ConnectionTurns<Integer> turns = ConnectionTurns.of(8L * TURN_BYTES);
        for (int number = 1; number <= CROWD; number++) {
            turns.add(number, true);
        }
        turns.add(0, false);
        List<Integer> served = List.of(turns.next(), turns.next());
        assertThat(served.contains(0), is(true));
    }

    @Test
    void testNewcomersWithShortTurnsWaitBehindFewOfTheOthers() {
        int newcomers = 100;
        int shortTurnBytes = 2048;
        ConnectionTurns<Integer> turns = ConnectionTurns.of(8L * TURN_BYTES);
        for (int number = 0; number < CROWD; number++) {
            turns.add(number, number < newcomers);
        }
        int servedOthers = 0;
        int servedNewcomers = 0;
        while (servedNewcomers < newcomers) {
            boolean isNewcomer = turns.next() < newcomers;
            turns.spend(isNewcomer ? shortTurnBytes : TURN_BYTES);
            servedNewcomers += isNewcomer ? 1 : 0;
            servedOthers += isNewcomer ? 0 : 1;
        }
        int othersOfTheSameWork = newcomers * shortTurnBytes / TURN_BYTES;
        assertThat(servedOthers, is(greaterThanOrEqualTo(othersOfTheSameWork - 1)));
        assertThat(servedOthers, is(lessThanOrEqualTo(othersOfTheSameWork + 1)));
    }

    @Test
    void testNewcomersSaveUpNoTurnsWhileTheyDoNotWait() {
        ConnectionTurns<Integer> turns = ConnectionTurns.of(8L * TURN_BYTES);
        for (int number = 1; number <= 10; number++) {
            turns.add(0, false);
            turns.next();
            turns.spend(TURN_BYTES);
        }
        turns.add(0, false);
        for (int number = 1; number <= CROWD; number++) {
            turns.add(number, true);
        }
        int servedNewcomers = 0;
        while (turns.next() > 0) {
            turns.spend(TURN_BYTES);
            servedNewcomers++;
        }
        assertThat(servedNewcomers, is(lessThanOrEqualTo(2)));
    }

    @Test
    void testCrowdThatSendsWithoutEndIsServedEvenly() {
        ConnectionTurns<Integer> turns = ConnectionTurns.of(8L * TURN_BYTES);
        for (int number = 0; number < CROWD; number++) {
            turns.add(number, false);
        }
        Map<Integer, Integer> served = new HashMap<>();
        int passes = CROWD;
        for (int pass = 0; pass < passes; pass++) {
            turns.startPass();
            List<Integer> waiting = new ArrayList<>();
            while (turns.hasBudget()) {
                int number = turns.next();
                served.merge(number, 1, Integer::sum);
                turns.spend(TURN_BYTES);
                waiting.add(number);
            }
            assertThat(waiting.size(), is(lessThanOrEqualTo(8)));
            waiting.forEach(number -> turns.add(number, false));
        }
        assertThat(served.values().stream().allMatch(count -> count == 8), is(true));
    }

    @Test
    void testNothingIsNextIfNoConnectionWaits() {
        ConnectionTurns<String> turns = ConnectionTurns.of(1);
        assertThat(turns.isEmpty(), is(true));
        assertThrows(NoSuchElementException.class, turns::next);
        assertThrows(IllegalArgumentException.class, () -> ConnectionTurns.of(0));
    }
}
