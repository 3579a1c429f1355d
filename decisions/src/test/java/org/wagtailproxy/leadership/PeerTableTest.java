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
import org.wagtailproxy.workload.DataCentreScope;

class PeerTableTest {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK = 100 * NANOS_PER_MILLI;
    private static final DataCentre NEAR = DataCentre.of("near");
    private static final DataCentre FAR = DataCentre.of("far");

    private final PeerTable mTable = new PeerTable();
    private long mNowNanos = 5_000 * NANOS_PER_MILLI;

    @Test
    void testPeersOfOtherDataCentresAreRemovedOnceTheFleetIsDivided() {
        mTable.updateRegistered(
                List.of(record(1, NEAR), record(2, FAR)), dataCentre -> true, false);
        answerAll(mTable.dueProbes(true, Option.none(), mNowNanos));
        mTable.updateRegistered(List.of(record(1, NEAR)), NEAR::equals, true);
        assertThat(mTable.peers().stream().map(Peer::name).toList(), contains(name(1)));
        assertThat(mTable.dueProbes(true, Option.none(), mNowNanos), hasSize(1));
    }

    @Test
    void testPeerWhoseRegistrationRanOutIsProbedAgainOnceItHasSentAProbe() {
        mTable.updateRegistered(List.of(record(1, NEAR), record(2, FAR)), any -> true, false);
        mTable.updateRegistered(List.of(record(1, NEAR)), any -> true, false);
        assertThat(mTable.restoreFormerPeer(name(3)), is(false));
        assertThat(mTable.restoreFormerPeer(name(1)), is(false));
        assertThat(mTable.restoreFormerPeer(name(2)), is(true));
        assertThat(mTable.restoreFormerPeer(name(2)), is(false));
        answerAll(mTable.dueProbes(true, Option.none(), mNowNanos));
        assertThat(mTable.find(name(2)).exists(Peer::reachable), is(true));
        // It stays a peer while it answers, registered or not.
        mTable.updateRegistered(List.of(record(1, NEAR)), any -> true, false);
        assertThat(mTable.find(name(2)).isDefined(), is(true));
    }

    @Test
    void testPeerThatMayBeLoadingItsCodeIsNotUnresponsiveOnceItIsLostAsHome() {
        mTable.updateRegistered(List.of(record(1, NEAR)), any -> true, false);
        answerAll(mTable.dueProbes(true, Option.none(), mNowNanos));
        long lostNanos = mNowNanos + LifeSigns.ANSWER_VALID_NANOS + 1;
        assertThat(mTable.unresponsivePeers(lostNanos), is(empty()));
    }

    @Test
    void testProbesCarryTheTimeAtWhichTheyWereSentHoweverRarelyAPeerIsProbed() {
        mTable.updateRegistered(
                List.of(record(1, NEAR), record(2, NEAR), record(3, NEAR)), any -> true, true);
        List<PeerProbe> first = mTable.dueProbes(true, Option.none(), mNowNanos);
        long firstNanos = mNowNanos;
        mNowNanos += 2 * TICK;
        answerAll(first);
        assertThat(first.get(2).sentNanos(), is(firstNanos));
        mNowNanos += 5 * TICK;
        List<PeerProbe> second = mTable.dueProbes(false, Option.none(), mNowNanos);
        assertThat(second, hasSize(3));
        second.forEach(probe -> assertThat(probe.sentNanos(), is(mNowNanos)));
    }

    @Test
    void testFormerPeerOutsideThePoolIsNotRestored() {
        mTable.updateRegistered(List.of(record(1, NEAR), record(2, FAR)), any -> true, false);
        mTable.updateRegistered(List.of(record(1, NEAR)), any -> true, false);
        mTable.updateRegistered(List.of(record(1, NEAR)), NEAR::equals, true);
        assertThat(mTable.restoreFormerPeer(name(2)), is(false));
    }

    @Test
    void testSilentAndLeadingPeersAreNotTakenForFollowers() {
        mTable.updateRegistered(
                List.of(record(1, NEAR), record(2, NEAR), record(3, NEAR)), any -> true, false);
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(Long.MIN_VALUE));
        long firstNanos = mNowNanos;
        for (PeerProbe probe : mTable.dueProbes(true, Option.none(), mNowNanos)) {
            mTable.onAnswer(probe, 1, mNowNanos);
            mTable.onFollowsAnswered(probe, Option.none());
        }
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(firstNanos));
        mNowNanos += TICK;
        for (PeerProbe probe : mTable.dueProbes(true, Option.none(), mNowNanos)) {
            if (probe.peer().equals(name(1))) {
                mTable.onAnswer(probe, 1, mNowNanos);
                mTable.onFollowsAnswered(probe, Option.some(name(1)));
            } else if (probe.peer().equals(name(2))) {
                mTable.onTimeout(probe);
            } else {
                mTable.onConnectionRefused(probe);
            }
        }
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(firstNanos));
        mNowNanos += TICK;
        for (PeerProbe probe : mTable.dueProbes(true, Option.none(), mNowNanos)) {
            if (probe.peer().equals(name(3))) {
                mTable.onConnectionRefused(probe);
            } else {
                mTable.onAnswer(probe, 1, mNowNanos);
                mTable.onFollowsAnswered(probe, Option.none());
            }
        }
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(firstNanos));
        mNowNanos += TICK;
        answerAllAsFollowersOf(Option.none());
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(mNowNanos));
    }

    @Test
    void testPeerThatHasLeftTheTableMayLead() {
        mTable.updateRegistered(List.of(record(1, NEAR), record(2, NEAR)), any -> true, false);
        answerAllAsFollowersOf(Option.none());
        mNowNanos += TICK;
        answerAllAsFollowersOf(Option.none());
        mTable.markUnreachable(name(1));
        mTable.updateRegistered(List.of(record(2, NEAR)), any -> true, false);
        mNowNanos += TICK;
        answerAllAsFollowersOf(Option.none());
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(Long.MIN_VALUE));
        mNowNanos += 5_000 * NANOS_PER_MILLI;
        answerAllAsFollowersOf(Option.none());
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(mNowNanos));
    }

    @Test
    void testLeaderThatIsNoPeerMayLead() {
        mTable.updateRegistered(List.of(record(1, NEAR)), any -> true, false);
        answerAllAsFollowersOf(Option.some(name(9)));
        mNowNanos += TICK;
        answerAllAsFollowersOf(Option.none());
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(Long.MIN_VALUE));
        mNowNanos += 5_000 * NANOS_PER_MILLI;
        answerAllAsFollowersOf(Option.none());
        assertThat(mTable.noPeerLedNanos(mNowNanos), is(mNowNanos));
    }

    @Test
    void testPeerThatIsRegisteredAgainInTheSameIncarnationHasHealed() {
        fill(1);
        mTable.markUnreachable(name(1));
        mTable.updateRegistered(List.of(), any -> true, false);
        mTable.updateRegistered(List.of(record(1, NEAR)), any -> true, false);
        PeerProbe probe = mTable.dueProbes(true, Option.none(), mNowNanos).get(0);
        assertThat(mTable.onAnswer(probe, 1, mNowNanos), is(PeerTable.ContactChange.HEALED));
    }

    private void answerAllAsFollowersOf(Option<InstanceName> leader) {
        for (PeerProbe probe : mTable.dueProbes(true, Option.none(), mNowNanos)) {
            mTable.onAnswer(probe, 1, mNowNanos);
            mTable.onFollowsAnswered(probe, leader);
        }
    }

    @Test
    void testUnregisteredPeerStaysWhileReachable() {
        mTable.updateRegistered(List.of(record(1, NEAR)), dataCentre -> true, false);
        answerAll(mTable.dueProbes(true, Option.none(), mNowNanos));
        mTable.updateRegistered(List.of(), dataCentre -> true, false);
        assertThat(mTable.peers(), hasSize(1));
        mTable.markUnreachable(name(1));
        mTable.updateRegistered(List.of(), dataCentre -> true, false);
        assertThat(mTable.peers(), is(empty()));
    }

    @Test
    void testFollowersOfADividedFleetProbeFewPeersInEveryTick() {
        fill(60);
        int probes = 0;
        for (int tick = 0; tick < 50; tick++) {
            mNowNanos += TICK;
            List<PeerProbe> due = mTable.dueProbes(false, Option.some(name(7)), mNowNanos);
            probes += due.size();
            assertThat(due.stream().map(PeerProbe::peer).toList(), hasItem(name(7)));
            answerAll(due);
            assertThat(mTable.unresponsivePeers(mNowNanos), is(empty()));
        }
        // Probing every peer in every tick would send 3,000 probes.
        assertThat(probes, lessThan(900));
    }

    @Test
    void testAllPeersOfAnUndividedFleetAreProbedInEveryTick() {
        mTable.updateRegistered(
                List.of(record(1, NEAR), record(2, FAR), record(3, FAR)), p -> true, false);
        answerAll(mTable.dueProbes(false, Option.none(), mNowNanos));
        mNowNanos += TICK;
        assertThat(mTable.dueProbes(false, Option.none(), mNowNanos), hasSize(3));
    }

    @Test
    void testLeaderProbesAllPeersInEveryTick() {
        fill(60);
        mNowNanos += TICK;
        assertThat(mTable.dueProbes(true, Option.none(), mNowNanos), hasSize(60));
    }

    @Test
    void testRarelyProbedPeerIsNotUnresponsiveAfterLeaderChange() {
        fill(60);
        answerAll(mTable.dueProbes(false, Option.some(name(7)), mNowNanos));
        mNowNanos += 430 * NANOS_PER_MILLI;
        List<PeerProbe> lateProbes = mTable.dueProbes(true, Option.none(), mNowNanos);
        mNowNanos += TICK;
        assertThat(mTable.unresponsivePeers(mNowNanos), not(hasItem(name(50))));
        answerAll(lateProbes);
        mNowNanos += 600 * NANOS_PER_MILLI;
        assertThat(mTable.unresponsivePeers(mNowNanos), hasItem(name(50)));
    }

    @Test
    void testAnswerToAProbeSentBeforeASuspensionDoesNotConfirm() {
        fill(1);
        List<PeerProbe> sentBefore = mTable.dueProbes(true, Option.none(), mNowNanos);
        mTable.onSuspension();
        answerAll(sentBefore);
        assertThat(mTable.hasUnconfirmedPeers(), is(true));
        answerAll(mTable.dueProbes(true, Option.none(), mNowNanos));
        assertThat(mTable.hasUnconfirmedPeers(), is(false));
    }

    @Test
    void testPeerThatIsReachableAgainInTheSameIncarnationHasHealed() {
        fill(1);
        mTable.updateStatus(
                new PeerStatus(
                        name(1),
                        1,
                        Option.none(),
                        false,
                        StoreContact.ASSUMED,
                        false,
                        false,
                        DataCentreScope.ALL,
                        0),
                0);
        mTable.markUnreachable(name(1));
        PeerProbe probe = mTable.dueProbes(true, Option.none(), mNowNanos).get(0);
        assertThat(mTable.onAnswer(probe, 1, mNowNanos), is(PeerTable.ContactChange.HEALED));
        mTable.markUnreachable(name(1));
        probe = mTable.dueProbes(true, Option.none(), mNowNanos).get(0);
        assertThat(mTable.onAnswer(probe, 9, mNowNanos), is(PeerTable.ContactChange.REACHED));
    }

    @Test
    void testListOfLostLeaderWhoseRegistrationRanOutStaysOutdated() {
        fill(1);
        mTable.updateStatus(
                new PeerStatus(
                        name(1),
                        1,
                        Option.some(name(1)),
                        false,
                        StoreContact.ASSUMED,
                        false,
                        false,
                        DataCentreScope.ALL.withUnlisted(true),
                        0),
                mNowNanos);
        mTable.markUnreachable(name(1));
        mTable.updateRegistered(List.of(), any -> true, false);
        assertThat(mTable.scope(name(1)).unlisted(), is(true));
    }

    @Test
    void testLeaderOutsideThePoolOfADividedFleetIsNoticed() {
        mTable.updateRegistered(List.of(record(1, NEAR), record(2, NEAR)), NEAR::equals, true);
        assertThat(followsOutsidePool(1, 9), is(true));
        assertThat(followsOutsidePool(1, 2), is(false));
        assertThat(followsOutsidePool(1, 5), is(false));
        assertThat(followsOutsidePool(8, 9), is(false));
        mTable.updateRegistered(List.of(record(1, NEAR)), dataCentre -> true, false);
        assertThat(followsOutsidePool(1, 9), is(false));
    }

    @Test
    void testStatusThatWasOvertakenByLaterOneDoesNotCount() {
        fill(1);
        mTable.updateStatus(statusOf(1, 2, 200), mNowNanos);
        mTable.updateStatus(statusOf(1, 5, 100), mNowNanos);
        assertThat(mTable.mayHaveLeftSince(name(1), name(5), mNowNanos), is(true));
        assertThat(mTable.clockNanos(name(1)), is(200L));
        mTable.updateStatus(statusOf(1, 5, 300), mNowNanos);
        assertThat(mTable.mayHaveLeftSince(name(1), name(5), mNowNanos), is(false));
    }

    private static PeerStatus statusOf(int peer, int leader, long clockNanos) {
        return new PeerStatus(
                name(peer),
                peer,
                Option.some(name(leader)),
                false,
                StoreContact.ASSUMED,
                false,
                false,
                DataCentreScope.ALL,
                clockNanos);
    }

    /** Checks a reported leader in the table of instance 5. */
    private boolean followsOutsidePool(int peer, int leader) {
        PeerStatus status =
                new PeerStatus(
                        name(peer),
                        1,
                        Option.some(name(leader)),
                        false,
                        StoreContact.ASSUMED,
                        false,
                        false,
                        DataCentreScope.ALL,
                        0);
        return mTable.followsOutsidePool(status, name(5));
    }

    /** Registers peers that became reachable so long ago that the warm-up time has passed. */
    private void fill(int peers) {
        List<InstanceRecord> records = new ArrayList<>();
        for (int number = 1; number <= peers; number++) {
            records.add(record(number, NEAR));
        }
        mTable.updateRegistered(records, dataCentre -> true, true);
        answerAll(mTable.dueProbes(true, Option.none(), mNowNanos));
        mNowNanos += 4_000 * NANOS_PER_MILLI;
        answerAll(mTable.dueProbes(true, Option.none(), mNowNanos));
    }

    private void answerAll(List<PeerProbe> probes) {
        for (PeerProbe probe : probes) {
            mTable.onAnswer(probe, Long.parseLong(probe.peer().value().substring(1)), mNowNanos);
        }
    }

    private static InstanceName name(int number) {
        return InstanceName.of("i" + number);
    }

    private static InstanceRecord record(int number, DataCentre dataCentre) {
        HostAddress address = HostAddress.of("10.0.0.1", 7000 + number);
        return new InstanceRecord(name(number), dataCentre, address, 1000, number);
    }
}
