package org.wagtailproxy.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;

class MemberTableTest {

    private static final MembershipTiming TIMING =
            MembershipTiming.of(Duration.ofSeconds(8), Duration.ofSeconds(20), Duration.ofHours(2));
    private static final Member SELF = member(1, "here", 1);
    private static final Member NEIGHBOUR = member(2, "here", 2);
    private static final Member SECOND = member(3, "here", 3);
    private static final Member REMOTE = member(4, "there", 4);

    @Test
    void testReplicatedEndMayBePublishedWhileANeighbourAnswers() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, seconds(5));
        assertThat(table.mayPublish(1, seconds(12)), is(true));
    }

    @Test
    void testEndIsWithheldAfterTheWithholdingTimeWithoutContact() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, seconds(5));
        assertThat(table.mayPublish(1, seconds(13)), is(false));
    }

    @Test
    void testEndWithoutReplicaIsWithheld() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, seconds(5));
        assertThat(table.mayPublish(0, seconds(6)), is(false));
    }

    @Test
    void testEndWithoutReplicaIsPublishedIfAllNeighboursAreDead() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, seconds(5));
        table.onConnectionRefused(NEIGHBOUR.peerAddress(), seconds(6));
        assertThat(table.mayPublish(0, seconds(7)), is(true));
    }

    @Test
    void testProofAfterAGapNeedsAnAnswerOfEveryNeighbour() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, seconds(1));
        table.onContact(SECOND, seconds(1));
        table.onContact(NEIGHBOUR, seconds(60));
        assertThat(table.mayPublish(1, seconds(61)), is(false));
        table.onContact(SECOND, seconds(61));
        assertThat(table.mayPublish(1, seconds(62)), is(true));
    }

    @Test
    void testProofAfterAGapIsRenewedByTheStore() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, seconds(1));
        table.onOwnSealAbsent(seconds(60));
        assertThat(table.mayPublish(1, seconds(61)), is(true));
    }

    @Test
    void testAnswerFromAnotherDataCentreIsNoProof() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, seconds(1));
        table.onContact(REMOTE, seconds(8));
        assertThat(table.mayPublish(1, seconds(10)), is(false));
    }

    @Test
    void testSealedInstancePublishesNothing() {
        MemberTable table = table();
        table.recordSeal(Seal.lost(SELF.incarnation()), 0);
        assertThat(table.mayPublish(2, seconds(1)), is(false));
    }

    @Test
    void testUnresponsiveNeighbourIsNotSealableWhileListed() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, 0);
        table.updateListed(listing(NEIGHBOUR), true, seconds(100));
        assertThat(table.sealableMembers(seconds(101)), is(empty()));
    }

    @Test
    void testUnresponsiveNeighbourIsSealableOnceAbsentForTheSealingTime() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, 0);
        table.updateListed(List.of(), true, seconds(1));
        table.updateListed(List.of(), true, seconds(20));
        assertThat(table.sealableMembers(seconds(20)), is(empty()));
        table.updateListed(List.of(), true, seconds(21));
        assertThat(table.sealableMembers(seconds(21)), contains(NEIGHBOUR));
    }

    @Test
    void testListReadByAnotherInstanceMakesNoMemberSealable() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, 0);
        table.updateListed(List.of(), false, seconds(1));
        table.updateListed(List.of(), false, seconds(60));
        assertThat(table.sealableMembers(seconds(60)), is(empty()));
    }

    @Test
    void testInstanceElsewhereIsSealableOnlyAfterTheRemoteTime() {
        MemberTable table = table();
        table.onContact(REMOTE, 0);
        table.updateListed(List.of(), true, seconds(1));
        table.updateListed(List.of(), true, seconds(7000));
        assertThat(table.sealableMembers(seconds(7000)), is(empty()));
        table.updateListed(List.of(), true, seconds(7202));
        assertThat(table.sealableMembers(seconds(7202)), contains(REMOTE));
    }

    @Test
    void testAnotherIncarnationAtTheAddressProvesDeath() {
        MemberTable table = table();
        table.onContact(NEIGHBOUR, seconds(1));
        table.onContact(member(9, "here", 2), seconds(2));
        assertThat(table.sealableMembers(seconds(2)), contains(NEIGHBOUR));
    }

    @Test
    void testLateAnswerOfAReplacedMemberDoesNotReplaceItsSuccessor() {
        MemberTable table = table();
        Member successor = member(9, "here", 2);
        table.onMemberReported(successor, seconds(5));
        table.onContact(NEIGHBOUR, seconds(4));
        assertThat(table.sealableMembers(seconds(6)), is(empty()));
    }

    @Test
    void testFirstSealStays() {
        MemberTable table = table();
        table.recordSeal(Seal.lost(REMOTE.incarnation()), 0);
        table.recordSeal(Seal.handedOver(REMOTE.incarnation(), NEIGHBOUR), 0);
        assertThat(table.sealOf(REMOTE.incarnation()).get().kind(), is(SealKind.LOST));
    }

    @Test
    void testForgottenMemberIsNotAddedAgainByReports() {
        MemberTable table = table();
        table.onMemberReported(REMOTE, 0);
        table.recordSeal(Seal.lost(REMOTE.incarnation()), 0);
        table.forgetSealedBefore(seconds(1));
        table.onMemberReported(REMOTE, seconds(2));
        assertThat(table.members(), is(empty()));
        assertThat(table.recordSeal(Seal.lost(REMOTE.incarnation()), seconds(2)), is(false));
    }

    /**
     * Runs a home instance and a neighbour under random network partitions, store outages and list
     * errors. Guards against an end that is published although a seal contradicts it: the neighbour
     * seals the home as soon as it may. From then on the home must not publish an end without a
     * replica, and none at all unless the store has confirmed within the withholding time that it
     * was not sealed.
     */
    @Property(tries = 300, seed = "20261204")
    void testNoEndIsPublishedThatASealCouldContradict(@ForAll long seed) {
        Random random = new Random(seed);
        MemberTable home = table();
        MemberTable other = MemberTable.of(NEIGHBOUR, TIMING, 0);
        home.onContact(NEIGHBOUR, 0);
        other.onContact(SELF, 0);
        boolean partitioned = false;
        boolean storeUnreachable = false;
        boolean listed = true;
        long storeAnsweredNanos = 0;
        for (int step = 1; step < 600; step++) {
            long nowNanos = seconds(step) + random.nextInt(500_000_000);
            partitioned ^= random.nextInt(30) == 0;
            storeUnreachable ^= random.nextInt(30) == 0;
            listed ^= random.nextInt(30) == 0;
            if (!partitioned) {
                home.onContact(NEIGHBOUR, nowNanos);
                other.onContact(SELF, nowNanos);
            }
            if (!storeUnreachable && home.needsSealCheck(nowNanos)) {
                home.onOwnSealAbsent(nowNanos);
                storeAnsweredNanos = nowNanos;
            }
            other.updateListed(listed ? listing(SELF) : List.of(), true, nowNanos);
            boolean sealed = !other.sealableMembers(nowNanos).isEmpty();
            if (sealed) {
                assertThat(home.mayPublish(0, nowNanos), is(false));
                boolean storeAnsweredLately =
                        nowNanos - storeAnsweredNanos < TIMING.withhold().toNanos();
                assertThat(home.mayPublish(1, nowNanos) && !storeAnsweredLately, is(false));
                return;
            }
        }
    }

    private static MemberTable table() {
        return MemberTable.of(SELF, TIMING, 0);
    }

    private static List<InstanceListing> listing(Member... members) {
        List<InstanceListing> listings = new ArrayList<>();
        for (Member member : members) {
            listings.add(InstanceListing.of(member.peerAddress(), member.dataCentre(), false));
        }
        return listings;
    }

    private static Member member(int number, String dataCentre, int host) {
        return Member.of(
                Incarnation.of(0, number),
                DataCentre.of(dataCentre),
                HostAddress.of("127.0.0." + host, 7080),
                HostAddress.of("127.0.0." + host, 8080));
    }

    private static long seconds(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
