package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.Incarnation;

class LifeSignsTest {

    private static final long TICK = 100_000_000;
    private static final InstanceName SELF = InstanceName.of("leader");
    private static final InstanceName OTHER = InstanceName.of("other");
    private static final HomeProcess HOME = process(1);
    private static final HomeProcess NEXT = process(2);

    private final List<HomeProcess> mInterrupted = new ArrayList<>();
    private final LifeSigns mSigns = new LifeSigns(new Events());
    private final long mNowNanos = 50 * TICK;
    private int mSuspensionsShown;

    private static HomeProcess process(long number) {
        return new HomeProcess(InstanceName.of("home"), Incarnation.of(0, number));
    }

    @Test
    void testHomeIsLostBeforeItsCallersSubmitAgain() {
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos), is(false));
        answer(HOME, mNowNanos);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 9 * TICK), is(true));
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 9 * TICK + 1), is(false));
    }

    @Test
    void testHomeOfForwardedJobIsLostInTimeForItsLeaderToBeLostToo() {
        answer(HOME, mNowNanos);
        assertThat(mSigns.isAlive(HOME, mNowNanos + 5 * TICK), is(true));
        assertThat(mSigns.isAlive(HOME, mNowNanos + 6 * TICK), is(false));
    }

    @Test
    void testSignsOfNextProcessAreNoEvidenceForTheFormerOne() {
        submit(HOME, mNowNanos);
        answer(NEXT, mNowNanos + 5 * TICK);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 6 * TICK), is(false));
        assertThat(mSigns.isFollowing(NEXT, SELF, mNowNanos + 6 * TICK), is(true));
    }

    @Test
    void testProcessThatHasShownNoSignIsNotAlive() {
        answer(NEXT, mNowNanos);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos), is(false));
        assertThat(mSigns.isAlive(HOME, mNowNanos), is(false));
        assertThat(mSigns.wasLost(HOME, mNowNanos), is(false));
    }

    @Test
    void testHomeThatFollowsAnotherLeaderDoesNotWait() {
        answer(HOME, mNowNanos);
        mSigns.recordProbe(sign(HOME, OTHER, mNowNanos + 1), mNowNanos + 1);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 1), is(false));
        assertThat(mSigns.isAlive(HOME, mNowNanos + 1), is(true));
        submit(HOME, mNowNanos + 2);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 2), is(true));
    }

    @Test
    void testSubmissionThatWasOvertakenByAStatusDoesNotCount() {
        mSigns.recordProbe(sign(HOME, OTHER, mNowNanos + 2), mNowNanos + 2);
        submit(HOME, mNowNanos + 1);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 2), is(false));
    }

    @Test
    void testHomeMayHaveLeftSinceItSentARequestBeforeItsStatus() {
        answer(HOME, mNowNanos);
        assertThat(mSigns.mayHaveLeftSince(HOME, SELF, mNowNanos), is(false));
        mSigns.recordProbe(sign(HOME, OTHER, mNowNanos + 2), mNowNanos + 2);
        assertThat(mSigns.mayHaveLeftSince(HOME, SELF, mNowNanos + 1), is(true));
        assertThat(mSigns.mayHaveLeftSince(HOME, SELF, mNowNanos + 3), is(false));
        assertThat(mSigns.mayHaveLeftSince(NEXT, SELF, mNowNanos + 1), is(false));
    }

    @Test
    void testStatusThatWasOvertakenByALaterOneDoesNotCount() {
        mSigns.recordProbe(sign(HOME, OTHER, mNowNanos + 2), mNowNanos + 2);
        answer(HOME, mNowNanos);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 2), is(false));
    }

    @Test
    void testOnlyRequestsOfUnreachableHomeCount() {
        answer(HOME, mNowNanos);
        submit(NEXT, mNowNanos);
        mSigns.onUnreachable(HOME.name());
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos), is(false));
        assertThat(mSigns.isFollowing(NEXT, SELF, mNowNanos + 5 * TICK), is(true));
        assertThat(mSigns.isFollowing(NEXT, SELF, mNowNanos + 6 * TICK), is(false));
        answer(HOME, mNowNanos + 1);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 1), is(true));
    }

    @Test
    void testProcessIsLostUntilItIsForgotten() {
        submit(HOME, mNowNanos);
        mSigns.removeOld(mNowNanos + 100 * TICK);
        assertThat(mSigns.wasLost(HOME, mNowNanos + 100 * TICK), is(true));
        mSigns.removeOld(mNowNanos + 101 * TICK);
        assertThat(mSigns.wasLost(HOME, mNowNanos + 101 * TICK), is(false));
    }

    @Test
    void testSignsOfBeforeASuspensionDoNotCount() {
        answer(HOME, mNowNanos);
        submit(HOME, mNowNanos);
        mSigns.onSuspension(mNowNanos + 1);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 1), is(false));
        // Answered, and received, after the suspension.
        answer(HOME, mNowNanos);
        submit(HOME, mNowNanos);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 1), is(false));
        answer(HOME, mNowNanos + 1);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + 1), is(true));
    }

    @Test
    void testHomeThatHeardNothingForLongMayHaveGivenUpItsJobsThoughTheClockHereStoodStill() {
        answerAtClock(0, mNowNanos);
        answerAtClock(9 * TICK, mNowNanos + 1);
        mSigns.onSuspension(mNowNanos + 1);
        mSigns.removeOld(mNowNanos + 2);
        assertThat(mInterrupted, is(empty()));
        answerAtClock(18 * TICK + 1, mNowNanos + 2);
        assertThat(mInterrupted, contains(HOME));
        answerAtClock(19 * TICK, mNowNanos + 3);
        assertThat(mInterrupted, contains(HOME));
    }

    @Test
    void testSuspensionThatTheOwnClocksHideIsShownByAnotherClock() {
        answerAtClock(0, mNowNanos);
        answerAtClock(3 * TICK, mNowNanos + TICK);
        assertThat(mSuspensionsShown, is(0));
        answerAtClock(4 * TICK + 1, mNowNanos + 2 * TICK);
        assertThat(mSuspensionsShown, is(1));
    }

    @Test
    void testProbesThatWereHeldInASuspensionDoNotHideThatTheHomeHeardNothing() {
        answerAtClock(0, mNowNanos);
        // Sent every 100 ms of the home, handled after the suspension, in which the clock stood.
        for (int tick = 1; tick <= 15; tick++) {
            long sentNanos = mNowNanos + tick;
            mSigns.recordProbe(
                    new LifeSign(HOME, Option.some(SELF), (7 + tick) * TICK, sentNanos), sentNanos);
        }
        assertThat(mSuspensionsShown, is(greaterThan(0)));
        answerAtClock(16 * TICK, mNowNanos + 20);
        assertThat(mInterrupted, contains(HOME));
    }

    @Test
    void testAnswerOfNextProcessShowsThatTheFormerOneIsGone() {
        answer(HOME, mNowNanos);
        answer(NEXT, mNowNanos + TICK);
        assertThat(mSigns.isFollowing(HOME, SELF, mNowNanos + TICK), is(false));
    }

    @Test
    void testHeldUpAnswerOfFormerProcessKeepsTheNextOne() {
        answer(NEXT, mNowNanos + TICK);
        answer(HOME, mNowNanos);
        assertThat(mSigns.isFollowing(NEXT, SELF, mNowNanos + TICK), is(true));
    }

    @Test
    void testSuspensionThatIsKnownIsNotShownAgain() {
        answerAtClock(0, mNowNanos);
        mSigns.onSuspension(mNowNanos + 1);
        answerAtClock(8 * TICK, mNowNanos + TICK);
        assertThat(mSuspensionsShown, is(0));
    }

    @Test
    void testSilenceOfAnotherProcessIsNoSuspension() {
        answerAtClock(0, mNowNanos);
        answerAtClock(30 * TICK, mNowNanos + 30 * TICK);
        answerAtClock(31 * TICK, mNowNanos + 60 * TICK);
        assertThat(mSuspensionsShown, is(0));
    }

    /** Records an answer with the clock of the home, in nanoseconds after its first one. */
    private void answerAtClock(long clockNanos, long sentNanos) {
        mSigns.recordAnswer(
                new LifeSign(HOME, Option.some(SELF), 7 * TICK + clockNanos, sentNanos), sentNanos);
    }

    /** Records an answer that shows a follower of this leader. */
    private void answer(HomeProcess process, long sentNanos) {
        mSigns.recordAnswer(sign(process, SELF, sentNanos), sentNanos);
    }

    private static LifeSign sign(HomeProcess process, InstanceName follows, long sentNanos) {
        return new LifeSign(process, Option.some(follows), sentNanos, sentNanos);
    }

    private void submit(HomeProcess process, long sentNanos) {
        mSigns.recordSubmission(process, Option.some(SELF), sentNanos);
    }

    private final class Events implements LifeSigns.Listener {

        @Override
        public void onInterrupted(HomeProcess process) {
            mInterrupted.add(process);
        }

        @Override
        public void onSuspensionShown() {
            mSuspensionsShown++;
        }
    }
}
