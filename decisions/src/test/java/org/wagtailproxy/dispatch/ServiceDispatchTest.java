package org.wagtailproxy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.TeamName;

class ServiceDispatchTest {

    private static final DataCentre HERE = DataCentre.of("here");
    private static final DataCentre THERE = DataCentre.of("there");
    private static final TeamName TEAM = TeamName.of("quay");
    private static final TeamName OTHER = TeamName.of("yard");
    private static final long MILLISECOND = 1_000_000L;

    private final TeamQuotas mQuotas = TeamQuotas.of();
    private long mNowNanos;

    @Test
    void testTasksBeyondTheSlotsWait() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 2));
        enqueue(dispatch, TEAM, 5);
        assertThat(dispatch.assign(mNowNanos), hasSize(2));
        assertThat(dispatch.assign(mNowNanos), is(empty()));
    }

    @Test
    void testLeavingBackendServerReceivesNothing() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 8).asLeaving());
        enqueue(dispatch, TEAM, 5);
        assertThat(dispatch.assign(mNowNanos), is(empty()));
    }

    @Test
    void testRefusedTaskIsServedFirstAgainAfterAPause() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 1));
        enqueue(dispatch, TEAM, 2);
        Assignment first = dispatch.assign(mNowNanos).get(0);
        dispatch.onResult(first, SendResult.REFUSED, 1, mNowNanos);
        dispatch.requeue(first.task());
        assertThat(dispatch.assign(mNowNanos), is(empty()));
        mNowNanos += BackendServerState.LIMIT_GROWTH_INTERVAL_NANOS;
        assertThat(dispatch.assign(mNowNanos).get(0).task().task(), is(first.task().task()));
    }

    @Test
    void testRefusalLimitsTasksInFlight() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 4));
        enqueue(dispatch, TEAM, 8);
        List<Assignment> sent = dispatch.assign(mNowNanos);
        dispatch.onResult(sent.get(3), SendResult.REFUSED, 1, mNowNanos);
        dispatch.onResult(sent.get(0), SendResult.ANSWERED, MILLISECOND, mNowNanos);
        mNowNanos += 2 * BackendServerState.FIRST_REFUSAL_PAUSE_NANOS;
        assertThat(dispatch.assign(mNowNanos), hasSize(1));
        mNowNanos += BackendServerState.LIMIT_GROWTH_INTERVAL_NANOS;
        assertThat(dispatch.assign(mNowNanos), hasSize(1));
    }

    @Test
    void testBackendServerThatFailsEveryTaskIsEjected() {
        ServiceDispatch dispatch =
                dispatch(server(1, HERE, 8), server(2, HERE, 8), server(3, HERE, 8));
        BackendServerId broken = server(1, HERE, 8).id();
        enqueue(dispatch, TEAM, 400);
        int sent = 0;
        for (int round = 0; round < 40; round++) {
            for (Assignment assignment : dispatch.assign(mNowNanos)) {
                boolean fails = assignment.backendServer().equals(broken);
                sent += fails ? 1 : 0;
                SendResult result = fails ? SendResult.FAILED : SendResult.ANSWERED;
                dispatch.onResult(assignment, result, 10 * MILLISECOND, mNowNanos);
            }
            mNowNanos += 10 * MILLISECOND;
        }
        assertThat(dispatch.ejectedServers(), is(1));
        assertThat(sent, lessThanOrEqualTo(20));
    }

    @Test
    void testNoMoreThanAThirdIsEjected() {
        ServiceDispatch dispatch =
                dispatch(server(1, HERE, 8), server(2, HERE, 8), server(3, HERE, 8));
        enqueue(dispatch, TEAM, 400);
        for (int round = 0; round < 30; round++) {
            for (Assignment assignment : dispatch.assign(mNowNanos)) {
                dispatch.onResult(assignment, SendResult.FAILED, MILLISECOND, mNowNanos);
            }
            mNowNanos += MILLISECOND;
        }
        assertThat(dispatch.ejectedServers(), is(1));
    }

    @Test
    void testEjectedBackendServerIsReinstatedAfterASuccessfulTask() {
        ServiceDispatch dispatch =
                dispatch(server(1, HERE, 1), server(2, HERE, 1), server(3, HERE, 1));
        BackendServerId broken = server(1, HERE, 1).id();
        enqueue(dispatch, TEAM, 400);
        for (int round = 0; round < 100; round++) {
            boolean stillBroken = round < 20;
            for (Assignment assignment : dispatch.assign(mNowNanos)) {
                boolean fails = stillBroken && assignment.backendServer().equals(broken);
                SendResult result = fails ? SendResult.FAILED : SendResult.ANSWERED;
                dispatch.onResult(assignment, result, MILLISECOND, mNowNanos);
            }
            mNowNanos += 50 * MILLISECOND;
        }
        assertThat(dispatch.ejectedServers(), is(0));
    }

    @Test
    void testTaskWaitsForAFastBackendServerRatherThanTakingAFarSlowerOne() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 8), server(2, HERE, 1));
        observeSlowdowns(
                dispatch, Map.of(server(1, HERE, 8).id(), 1.0, server(2, HERE, 1).id(), 8.0));
        enqueue(dispatch, TEAM, 9);
        List<Assignment> assignments = dispatch.assign(mNowNanos);
        assertThat(assignments, hasSize(8));
        assertThat(dispatch.demand(), is(9));
    }

    @Test
    void testTeamBeyondItsQuotaDoesNotBlockAnother() {
        mQuotas.updateLimit(OTHER, 100, 1);
        ServiceDispatch dispatch = dispatch(server(1, HERE, 8));
        mQuotas.updateLimit(TEAM, 2, 1);
        enqueue(dispatch, TEAM, 50);
        enqueue(dispatch, OTHER, 3);
        assertThat(dispatch.assign(mNowNanos), hasSize(5));
    }

    @Test
    void testTeamsAreServedInProportionToTheirWeights() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 8));
        mQuotas.updateLimit(TEAM, 100, 3);
        mQuotas.updateLimit(OTHER, 100, 1);
        enqueue(dispatch, TEAM, 50);
        enqueue(dispatch, OTHER, 50);
        long first =
                dispatch.assign(mNowNanos).stream()
                        .filter(each -> each.task().team().equals(TEAM))
                        .count();
        assertThat(first, is(6L));
    }

    @Test
    void testNothingIsBorrowedWithoutSlotsToLend() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 1), server(2, THERE, 8));
        enqueue(dispatch, TEAM, 5);
        assertThat(dispatch.assign(mNowNanos), hasSize(1));
    }

    @Test
    void testBorrowedSlotsDoNotExceedLendableSlots() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 1), server(2, THERE, 8));
        dispatch.updateShares(ShareView.of(List.of(5), 0, Map.of(THERE, 2)));
        enqueue(dispatch, TEAM, 9);
        assertThat(dispatch.assign(mNowNanos), hasSize(3));
    }

    @Test
    void testDelistedBackendServerWithTasksInFlightIsRemovedOnceTheyEnd() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 4));
        enqueue(dispatch, TEAM, 2);
        List<Assignment> assignments = dispatch.assign(mNowNanos);
        dispatch.updateServers(List.of(), mNowNanos);
        dispatch.updateServers(List.of(server(1, HERE, 4)), mNowNanos);
        assignments.forEach(
                each -> dispatch.onResult(each, SendResult.ANSWERED, MILLISECOND, mNowNanos));
        assertThat(dispatch.tasksInFlight(), is(0));
    }

    /**
     * Guards against lost tasks and wrong counts: under random results every task ends, the tasks
     * in flight match the assignments, and all counts return to zero.
     */
    @Property(tries = 200, seed = "20261204")
    void testRandomResultsLoseNoTask(@ForAll long seed) {
        Random random = new Random(seed);
        mNowNanos = 0;
        List<BackendServerListing> servers = new ArrayList<>();
        for (int index = 1; index <= 4; index++) {
            servers.add(server(index, index == 4 ? THERE : HERE, 1 + random.nextInt(4)));
        }
        ServiceDispatch dispatch = dispatch(servers.toArray(BackendServerListing[]::new));
        dispatch.updateShares(ShareView.of(List.of(3), 0, Map.of(THERE, random.nextInt(3))));
        enqueue(dispatch, TEAM, 40);
        List<Assignment> inFlight = new ArrayList<>();
        int ended = 0;
        for (int step = 0; step < 2000 && ended < 40; step++) {
            mNowNanos += random.nextInt(500) * MILLISECOND;
            inFlight.addAll(dispatch.assign(mNowNanos));
            assertThat(dispatch.tasksInFlight(), is(inFlight.size()));
            if (inFlight.isEmpty()) {
                continue;
            }
            Assignment assignment = inFlight.remove(random.nextInt(inFlight.size()));
            SendResult result = SendResult.values()[random.nextInt(SendResult.values().length)];
            dispatch.onResult(assignment, result, MILLISECOND, mNowNanos);
            if (result.isProvablyNotRun()) {
                dispatch.requeue(assignment.task());
            } else {
                ended++;
            }
        }
        assertThat(ended, is(40));
        assertThat(dispatch.demand(), is(0));
        assertThat(mQuotas.inFlight(TEAM), is(0));
    }

    @Test
    void testBaselinesUseEverySlot() {
        for (PolicyKind kind : List.of(PolicyKind.ROUND_ROBIN, PolicyKind.TWO_RANDOM)) {
            mQuotas.updateLimit(TEAM, 1000, 1);
            ServiceDispatch dispatch =
                    ServiceDispatch.of(HERE, tuning(kind), mQuotas, new SplittableRandom(1));
            dispatch.updateServers(List.of(server(1, HERE, 8), server(2, HERE, 8)), 0);
            enqueue(dispatch, TEAM, 20);
            assertThat(dispatch.assign(0), hasSize(16));
        }
    }

    @Test
    void testDroppedJobLeavesNothingQueued() {
        ServiceDispatch dispatch = dispatch();
        enqueue(dispatch, TEAM, 7);
        assertThat(dispatch.removeJob(JobName.parse("job").get()), is(7));
        assertThat(dispatch.demand(), is(0));
    }

    @Test
    void testTasksBeyondTheirDeadlineExpire() {
        ServiceDispatch dispatch = dispatch();
        enqueue(dispatch, TEAM, 3);
        assertThat(dispatch.removeExpired(999 * MILLISECOND), is(empty()));
        assertThat(dispatch.removeExpired(1000 * MILLISECOND), hasSize(3));
    }

    @Test
    void testShortTaskOvertakesLongOnesThatHaveWaitedLittleMore() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 1));
        enqueue(dispatch, 1000, 0, 0);
        enqueue(dispatch, 50, 1, 5 * MILLISECOND);
        assertThat(dispatch.assign(100 * MILLISECOND).get(0).task().task().index(), is(1));
    }

    @Test
    void testLongTaskIsServedOnceItHasWaitedInProportion() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 1));
        enqueue(dispatch, 1000, 0, 0);
        enqueue(dispatch, 50, 1, 990 * MILLISECOND);
        assertThat(dispatch.assign(1000 * MILLISECOND).get(0).task().task().index(), is(0));
    }

    @Test
    void testSharesLimitSentTasks() {
        ServiceDispatch dispatch = dispatch(server(1, HERE, 8));
        dispatch.updateShares(ShareView.of(List.of(10, 10), 0, Map.of()));
        enqueue(dispatch, TEAM, 20);
        List<Assignment> assignments = dispatch.assign(mNowNanos);
        assertThat(assignments, hasSize(4));
        assertThat(assignments, is(not(empty())));
        List<Integer> attempts = assignments.stream().map(a -> a.task().attempts()).toList();
        assertThat(attempts, everyItem(greaterThanOrEqualTo(0)));
    }

    private ServiceDispatch dispatch(BackendServerListing... servers) {
        mQuotas.updateLimit(TEAM, 1000, 1);
        ServiceDispatch dispatch =
                ServiceDispatch.of(
                        HERE,
                        tuning(PolicyKind.EXPECTED_COMPLETION),
                        mQuotas,
                        new SplittableRandom(1));
        dispatch.updateServers(List.of(servers), mNowNanos);
        return dispatch;
    }

    private void observeSlowdowns(
            ServiceDispatch dispatch, Map<BackendServerId, Double> slowdowns) {
        for (int round = 0; round < 20; round++) {
            enqueue(dispatch, TEAM, 9);
            List<Assignment> inFlight = dispatch.assign(mNowNanos);
            while (!inFlight.isEmpty()) {
                for (Assignment each : inFlight) {
                    long tookNanos =
                            (long) (slowdowns.get(each.backendServer()) * 100 * MILLISECOND);
                    dispatch.onResult(each, SendResult.ANSWERED, tookNanos, mNowNanos);
                }
                inFlight = dispatch.assign(mNowNanos);
            }
        }
    }

    private static DispatchTuning tuning(PolicyKind kind) {
        return DispatchTuning.of(kind, 10_000, 1, 0.1, 0);
    }

    private static void enqueue(ServiceDispatch dispatch, TeamName team, int count) {
        for (int index = 0; index < count; index++) {
            TaskRef task = TaskRef.of(JobName.parse("job").get(), index);
            dispatch.enqueue(QueuedTask.of(task, team, 100, 0, 1000 * MILLISECOND));
        }
    }

    private static void enqueue(
            ServiceDispatch dispatch, long declaredMilliseconds, int index, long queuedNanos) {
        TaskRef task = TaskRef.of(JobName.parse("job").get(), index);
        long deadlineNanos = queuedNanos + 9000 * MILLISECOND;
        dispatch.enqueue(
                QueuedTask.of(task, TEAM, declaredMilliseconds, queuedNanos, deadlineNanos));
    }

    private static BackendServerListing server(int number, DataCentre dataCentre, int slots) {
        BackendServerId id = BackendServerId.of(HostAddress.of("127.0.1." + number, 9000));
        return BackendServerListing.of(id, dataCentre, slots, false);
    }
}
