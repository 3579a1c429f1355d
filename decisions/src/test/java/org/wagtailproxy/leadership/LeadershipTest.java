package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.scheduling.ClaimMode;

class LeadershipTest {

    private static final InstanceName A = InstanceName.of("a");
    private static final InstanceName B = InstanceName.of("b");
    private static final InstanceName C = InstanceName.of("c");
    private static final List<InstanceName> ALL = List.of(A, B, C);

    private static Peer peer(InstanceName name, long seniority, boolean reachable, String follows) {
        return new Peer(
                name,
                DataCentre.of("pwani-a"),
                HostAddress.of("10.0.0.1", 7000),
                1000,
                seniority,
                reachable,
                false,
                StoreContact.ASSUMED,
                false,
                follows.isEmpty() ? Option.none() : Option.some(InstanceName.of(follows)));
    }

    private static Peer draining(Peer peer) {
        return new Peer(
                peer.name(),
                peer.dataCentre(),
                peer.address(),
                peer.processorMillis(),
                peer.seniority(),
                peer.reachable(),
                true,
                peer.storeContact(),
                peer.overloaded(),
                peer.follows());
    }

    private static Peer withStore(Peer peer, StoreContact contact) {
        return new Peer(
                peer.name(),
                peer.dataCentre(),
                peer.address(),
                peer.processorMillis(),
                peer.seniority(),
                peer.reachable(),
                peer.draining(),
                contact,
                peer.overloaded(),
                peer.follows());
    }

    @Test
    void testInstanceThatAMajorityFollowsNeedNotWaitForAllAnswers() {
        assertThat(Leadership.mayStartLeading(false, Set.of(A, B), ALL), is(true));
        assertThat(Leadership.mayStartLeading(false, Set.of(A), ALL), is(false));
        assertThat(Leadership.mayStartLeading(false, Set.of(A), List.of(A)), is(false));
        assertThat(Leadership.mayStartLeading(true, Set.of(A), ALL), is(true));
    }

    @Test
    void testLeaderWithoutStoreYieldsToOneThatHasConfirmedThatItAnswers() {
        Peer self = withStore(peer(A, 10, true, "a"), StoreContact.LOST);
        Peer other = withStore(peer(B, 20, true, ""), StoreContact.CONFIRMED);
        Peer unreachable = withStore(peer(B, 20, false, ""), StoreContact.CONFIRMED);
        assertThat(Leadership.of(self).chooseLeader(List.of(other)).name(), is(B));
        assertThat(Leadership.of(other).chooseLeader(List.of(self)).name(), is(B));
        assertThat(Leadership.of(self).chooseLeader(List.of(unreachable)).name(), is(A));
        assertThat(Leadership.of(self).chooseLeader(List.of(draining(other))).name(), is(A));
    }

    /** Guards against a new leader that has not noticed yet that the whole store is down. */
    @Test
    void testLeaderWithoutStoreLeadsUntilAnotherOneHasConfirmedThatItAnswers() {
        Peer self = withStore(peer(A, 10, true, "a"), StoreContact.LOST);
        Peer other = peer(B, 20, true, "");
        Peer lost = withStore(other, StoreContact.LOST);
        assertThat(Leadership.of(self).chooseLeader(List.of(other)).name(), is(A));
        assertThat(Leadership.of(other).chooseLeader(List.of(self)).name(), is(A));
        assertThat(Leadership.of(self).chooseLeader(List.of(lost)).name(), is(A));
    }

    @Test
    void testMostSeniorReachablePeerIsFollowed() {
        Leadership leadership = Leadership.of(peer(C, 30, true, ""));
        Peer a = peer(A, 10, true, "");
        Peer b = peer(B, 20, true, "");
        assertThat(leadership.chooseLeader(List.of(b, a)).name(), is(A));
        assertThat(leadership.chooseLeader(List.of(b, peer(A, 10, false, ""))).name(), is(B));
        assertThat(leadership.chooseLeader(List.of()).name(), is(C));
    }

    @Test
    void testSmallInstanceLeadsOnlyIfNoLargerOneIsReached() {
        Peer self = peer(A, 10, true, "a");
        Peer large = sized(peer(B, 20, true, ""), 2100);
        Peer similar = sized(peer(C, 30, true, ""), 1900);
        assertThat(leaderAmongLarge(self, large, similar), is(B));
        assertThat(leaderAmongLarge(self, similar), is(A));
        assertThat(leaderAmongLarge(self, draining(large)), is(A));
        assertThat(leaderAmongLarge(self, sized(peer(B, 20, false, ""), 2100), similar), is(C));
    }

    private static InstanceName leaderAmongLarge(Peer self, Peer... peers) {
        return Leadership.of(self)
                .preferringLargeInstances(List.of(peers))
                .chooseLeader(List.of(peers))
                .name();
    }

    private static Peer sized(Peer peer, long processorMillis) {
        return new Peer(
                peer.name(),
                peer.dataCentre(),
                peer.address(),
                processorMillis,
                peer.seniority(),
                peer.reachable(),
                peer.draining(),
                peer.storeContact(),
                peer.overloaded(),
                peer.follows());
    }

    private static Peer overloaded(Peer peer) {
        return new Peer(
                peer.name(),
                peer.dataCentre(),
                peer.address(),
                peer.processorMillis(),
                peer.seniority(),
                peer.reachable(),
                peer.draining(),
                peer.storeContact(),
                true,
                peer.follows());
    }

    @Test
    void testOverloadedLeaderYieldsUnlessAllOthersAreOverloadedOrSmall() {
        Peer self = overloaded(peer(A, 10, true, "a"));
        Peer other = peer(B, 20, true, "");
        Peer small = sized(peer(C, 30, true, ""), 400);
        assertThat(leaderAmongLarge(self, other, small), is(B));
        assertThat(leaderAmongLarge(self, overloaded(other), small), is(A));
        assertThat(leaderAmongLarge(self, small), is(A));
    }

    @Test
    void testDrainingLeaderYieldsUnlessItIsAlone() {
        Peer self = draining(peer(A, 10, true, "a"));
        assertThat(Leadership.of(self).chooseLeader(List.of(peer(B, 20, true, ""))).name(), is(B));
        assertThat(Leadership.of(self).chooseLeader(List.of()).name(), is(A));
    }

    @Test
    void testInstancesThatAllDrainAgreeOnOneLeader() {
        Peer a = draining(peer(A, 10, true, "b"));
        Peer b = draining(peer(B, 20, true, "b"));
        assertThat(Leadership.of(a).chooseLeader(List.of(b)).name(), is(A));
        assertThat(Leadership.of(b).chooseLeader(List.of(a)).name(), is(A));
    }

    @Test
    void testInstanceThatRestartsDoesNotTakeLeadershipBack() {
        Leadership restarted = Leadership.of(peer(A, 40, true, ""));
        assertThat(restarted.chooseLeader(List.of(peer(B, 20, true, "b"))).name(), is(B));
    }

    @Test
    void testGroupIsTheLeaderAndItsFollowers() {
        Leadership leadership = Leadership.of(peer(A, 10, true, "a"));
        assertThat(
                leadership.groupMembers(List.of(peer(B, 20, true, "a"), peer(C, 30, true, "b"))),
                containsInAnyOrder(A, B));
    }

    @Test
    void testPartitionedGroupsNeverBothClaimAServerFirst() {
        Leadership partitioned = Leadership.of(peer(A, 10, true, "a"));
        Leadership rest = Leadership.of(peer(B, 20, true, "b"));
        int firstClaims = 0;
        for (int number = 0; number < 100; number++) {
            ServerId server = ServerId.of("s" + number);
            ClaimMode mode = partitioned.claimMode(server, true, Set.of(A), ALL);
            ClaimMode otherMode = rest.claimMode(server, true, Set.of(B, C), ALL);
            assertThat(mode == ClaimMode.FIRST && otherMode == ClaimMode.FIRST, is(false));
            assertThat(mode == ClaimMode.FIRST || otherMode == ClaimMode.FIRST, is(true));
            firstClaims += mode == ClaimMode.FIRST ? 1 : 0;
        }
        assertThat(firstClaims, greaterThan(15));
    }

    @Test
    void testFollowerClaimsNothing() {
        Leadership leadership = Leadership.of(peer(B, 20, true, "a"));
        assertThat(
                leadership.claimMode(ServerId.of("s"), false, Set.of(B), ALL), is(ClaimMode.NONE));
    }

    @Test
    void testPreferredOwnerChangesOnlyForServersOfTheRemovedInstance() {
        Set<String> moved = new HashSet<>();
        List<InstanceName> without = new ArrayList<>(ALL);
        without.remove(C);
        for (int number = 0; number < 100; number++) {
            ServerId server = ServerId.of("s" + number);
            InstanceName before = Leadership.preferredOwner(server, ALL).get();
            InstanceName after = Leadership.preferredOwner(server, without).get();
            if (!before.equals(after)) {
                moved.add(before.value());
            }
        }
        assertThat(moved, equalTo(Set.of("c")));
    }
}
