package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;

class PeerTableTest {

    private static final long MILLI = 1_000_000;
    private static final long ROUND = 100 * MILLI;
    private static final DataCentre NEAR = DataCentre.of("near");
    private static final DataCentre FAR = DataCentre.of("far");

    private final PeerTable mTable = new PeerTable();
    private long mNow = 5_000 * MILLI;

    @Test
    void testPeersOfOtherDataCentresAreForgottenOnceTheFleetIsDivided() {
        mTable.updateRegistered(List.of(record(1, NEAR), record(2, FAR)), place -> true, false);
        answerAll(mTable.dueProbes(true, Option.none(), mNow));
        mTable.updateRegistered(List.of(record(1, NEAR)), NEAR::equals, true);
        assertThat(mTable.peers().stream().map(Peer::name).toList(), contains(name(1)));
        assertThat(mTable.dueProbes(true, Option.none(), mNow), hasSize(1));
    }

    @Test
    void testPeerThatLostItsRegistrationStaysWhileItIsReached() {
        mTable.updateRegistered(List.of(record(1, NEAR)), place -> true, false);
        answerAll(mTable.dueProbes(true, Option.none(), mNow));
        mTable.updateRegistered(List.of(), place -> true, false);
        assertThat(mTable.peers(), hasSize(1));
        mTable.markUnreachable(name(1));
        mTable.updateRegistered(List.of(), place -> true, false);
        assertThat(mTable.peers(), is(empty()));
    }

    @Test
    void testFollowersOfADividedFleetAskFewPeersInEveryRound() {
        fill(60);
        int questions = 0;
        for (int round = 0; round < 50; round++) {
            mNow += ROUND;
            List<PeerProbe> asked = mTable.dueProbes(false, Option.some(name(7)), mNow);
            questions += asked.size();
            assertThat(asked.stream().map(PeerProbe::peer).toList(), hasItem(name(7)));
            answerAll(asked);
            assertThat(mTable.unresponsivePeers(mNow), is(empty()));
        }
        // A full round each time would be 3,000.
        assertThat(questions, lessThan(900));
    }

    @Test
    void testAllOfAFleetThatIsNotDividedAreAskedInEveryRound() {
        mTable.updateRegistered(
                List.of(record(1, NEAR), record(2, FAR), record(3, FAR)), p -> true, false);
        answerAll(mTable.dueProbes(false, Option.none(), mNow));
        mNow += ROUND;
        assertThat(mTable.dueProbes(false, Option.none(), mNow), hasSize(3));
    }

    @Test
    void testLeaderAsksAllInEveryRound() {
        fill(60);
        mNow += ROUND;
        assertThat(mTable.dueProbes(true, Option.none(), mNow), hasSize(60));
    }

    @Test
    void testNewLeaderTakesNobodyForSilentThatIsAskedMoreOftenFromNowOn() {
        fill(60);
        answerAll(mTable.dueProbes(false, Option.some(name(7)), mNow));
        mNow += 430 * MILLI;
        List<PeerProbe> late = mTable.dueProbes(true, Option.none(), mNow);
        mNow += ROUND;
        assertThat(mTable.unresponsivePeers(mNow), not(hasItem(name(50))));
        answerAll(late);
        mNow += 600 * MILLI;
        assertThat(mTable.unresponsivePeers(mNow), hasItem(name(50)));
    }

    @Test
    void testAnswerThatWaitedThroughASuspensionDoesNotCount() {
        fill(1);
        List<PeerProbe> before = mTable.dueProbes(true, Option.none(), mNow);
        mTable.onSuspension();
        answerAll(before);
        assertThat(mTable.hasUnconfirmedPeers(), is(true));
        answerAll(mTable.dueProbes(true, Option.none(), mNow));
        assertThat(mTable.hasUnconfirmedPeers(), is(false));
    }

    @Test
    void testPeerThatIsBackInTheSameLifeHasHealed() {
        fill(1);
        mTable.updateStatus(new PeerStatus(name(1), 1, Option.none(), false, false, false));
        mTable.markUnreachable(name(1));
        PeerProbe question = mTable.dueProbes(true, Option.none(), mNow).get(0);
        assertThat(mTable.onAnswer(question, 1, mNow), is(PeerTable.ContactChange.HEALED));
        mTable.markUnreachable(name(1));
        question = mTable.dueProbes(true, Option.none(), mNow).get(0);
        assertThat(mTable.onAnswer(question, 9, mNow), is(PeerTable.ContactChange.REACHED));
    }

    /** Lists peers, reached long enough ago that they are no longer young. */
    private void fill(int peers) {
        List<InstanceRecord> records = new ArrayList<>();
        for (int number = 1; number <= peers; number++) {
            records.add(record(number, NEAR));
        }
        mTable.updateRegistered(records, place -> true, true);
        answerAll(mTable.dueProbes(true, Option.none(), mNow));
        mNow += 4_000 * MILLI;
        answerAll(mTable.dueProbes(true, Option.none(), mNow));
    }

    private void answerAll(List<PeerProbe> questions) {
        for (PeerProbe question : questions) {
            mTable.onAnswer(question, Long.parseLong(question.peer().value().substring(1)), mNow);
        }
    }

    private static InstanceName name(int number) {
        return InstanceName.of("i" + number);
    }

    private static InstanceRecord record(int number, DataCentre place) {
        HostAddress address = HostAddress.of("10.0.0.1", 7000 + number);
        return new InstanceRecord(name(number), place, address, 1000, number);
    }
}
