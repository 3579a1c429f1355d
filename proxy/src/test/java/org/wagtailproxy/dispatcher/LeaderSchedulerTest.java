package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

class LeaderSchedulerTest {

    private static final long READY_MILLIS = 4000;
    private static final JobId JOB = new JobId("00000000000000a1");

    private final FleetSimulation mFleet =
            new FleetSimulation(1, new FleetSimulation.Size(List.of("pwani-a"), 4));
    private final List<WorkOutcome.Kind> mOutcomes = new ArrayList<>();

    @Test
    void testAnswerThatIsHandledLatePlacesNoTaskOfLostHome() {
        mFleet.mTime.run(READY_MILLIS);
        SimulatedInstance home = followers().get(0);
        submit(job(16, 600), home);
        home.process().execute(home::kill);
        mFleet.mTime.run(READY_MILLIS + 400);
        int starts = mFleet.mStarts;
        assertThat(starts, is(greaterThan(0)));
        leader().process().pause(300);
        mFleet.mTime.run(READY_MILLIS + 900);
        assertThat(mFleet.mStarts, is(starts));
    }

    @Test
    void testCallerOfLostHomeIsAnsweredAtOnceWhileJobRunsForAnotherHome() {
        mFleet.mTime.run(READY_MILLIS);
        List<SimulatedInstance> followers = followers();
        submit(job(1, 2000), followers.get(0));
        submit(job(1, 2000), followers.get(1));
        followers.get(0).process().pause(1100);
        mFleet.mTime.run(READY_MILLIS + 1300);
        assertThat(mOutcomes, contains(WorkOutcome.Kind.ABANDONED));
        mFleet.mTime.run(READY_MILLIS + 3500);
        assertThat(mOutcomes, contains(WorkOutcome.Kind.ABANDONED, WorkOutcome.Kind.COMPLETE));
    }

    @Test
    void testCallerOfJobThatIsEndedByWithdrawalThatWasHeldUpIsAnsweredAtOnce() {
        mFleet.mTime.run(READY_MILLIS + 1000);
        SimulatedInstance home = followers().get(0);
        SimulatedInstance leader = leader();
        submit(job(1, 700), home);
        mFleet.mNetwork.cut((from, to) -> from == home.mHost && to == leader.mHost, 150);
        home.process().execute(() -> home.dispatcher().withdraw(JOB, "caller"));
        mFleet.mTime.run(READY_MILLIS + 1650);
        submit(job(1, 700), home);
        mFleet.mTime.run(READY_MILLIS + 2500);
        assertThat(mFleet.mTime.trace(List.of("job-withdrawn")), is(not(empty())));
        assertThat(mOutcomes, contains(WorkOutcome.Kind.ABANDONED));
    }

    @Test
    void testAnswerOfStoreAfterSuspensionPlacesNothing() {
        mFleet.mTime.run(READY_MILLIS + 2000);
        SimulatedInstance leader = leader();
        submit(storedJob("00000000000000b1"), leader);
        mFleet.mTime.run(READY_MILLIS + 3000);
        // The answer of the store is the first event that is handled after the suspension.
        leader.process()
                .execute(
                        () -> {
                            leader.dispatcher()
                                    .submit(
                                            storedJob("00000000000000b2"),
                                            4000,
                                            "caller",
                                            outcome -> mOutcomes.add(outcome.kind()));
                            leader.process().suspend(3000);
                        });
        mFleet.mTime.run(READY_MILLIS + 6000);
        assertThat(mOutcomes, contains(WorkOutcome.Kind.ACCEPTED, WorkOutcome.Kind.ACCEPTED));
        assertThat(placements("00000000000000b1"), is(1));
        assertThat(placements("00000000000000b2"), is(0));
    }

    private int placements(String job) {
        return Math.toIntExact(
                mFleet.mTime.trace(List.of("task-placed")).stream()
                        .filter(line -> line.contains(job))
                        .count());
    }

    private static WorkSpec storedJob(String id) {
        return new WorkSpec(
                new JobId(id),
                SimulatedServer.SERVICE,
                "3800",
                List.of(StepSpec.of(1, SimulatedServer.DEMAND, 3800)),
                QueueTerms.of(0, 6, 60, 3),
                "queue",
                false);
    }

    @Test
    void testLeaderThatStepsDownHandsJobToLatestHomeOnly() {
        mFleet.mTime.run(READY_MILLIS);
        List<SimulatedInstance> followers = followers();
        submit(job(1, 2000), followers.get(0));
        submit(job(1, 2000), followers.get(1));
        mFleet.mTime.run(READY_MILLIS + 100);
        SimulatedInstance leader = leader();
        leader.process().execute(leader.dispatcher()::drain);
        mFleet.mTime.run(READY_MILLIS + 3500);
        assertThat(mOutcomes, contains(WorkOutcome.Kind.ABANDONED, WorkOutcome.Kind.COMPLETE));
    }

    @ParameterizedTest
    @ValueSource(longs = {14, 15, 20, 24, 25})
    void testHomesThatFollowTwoLeadersNextDoNotBothGetJobBack(long seed) {
        FleetSimulation fleet =
                new FleetSimulation(seed, new FleetSimulation.Size(List.of("pwani-a"), 4));
        fleet.mTime.run(READY_MILLIS);
        SimulatedInstance leader = leader(fleet);
        List<SimulatedInstance> homes = followers(fleet).subList(0, 2);
        homes.forEach(home -> submitUnwatched(job(24, 800), home));
        fleet.mTime.run(READY_MILLIS + 30);
        SimulatedNetwork.Host cutOff = homes.get(0).mHost;
        fleet.mNetwork.cut(
                (from, to) ->
                        from.equals(cutOff) && isOther(fleet, to, leader)
                                || to.equals(cutOff) && isOther(fleet, from, leader),
                3000);
        leader.process().execute(leader.dispatcher()::drain);
        fleet.mTime.run(READY_MILLIS + 4500);
        assertThat(fleet.report(), is(""));
    }

    /** Checks whether a machine is an instance other than the leader. */
    private static boolean isOther(
            FleetSimulation fleet, SimulatedNetwork.Host host, SimulatedInstance leader) {
        return !host.equals(leader.mHost)
                && fleet.mInstances.values().stream().anyMatch(each -> each.mHost.equals(host));
    }

    @Test
    void testAnswerThatIsHandledLatePlacesNoTaskOfDisconnectedCaller() {
        mFleet.mTime.run(READY_MILLIS);
        SimulatedInstance leader = leader();
        submit(job(16, 600), leader);
        mFleet.mTime.run(READY_MILLIS + 300);
        int starts = mFleet.mStarts;
        assertThat(starts, is(greaterThan(0)));
        assertThat(starts, is(lessThan(16)));
        pauseAndDisconnect(leader, job(16, 600));
        mFleet.mTime.run(READY_MILLIS + 900);
        assertThat(mFleet.mStarts, is(starts));
    }

    @Test
    void testCallersAreNotDoubtedWhileTheLeaderIsNotBusy() {
        mFleet.mTime.run(READY_MILLIS);
        int[] doubts = {0};
        leader().onCallersDoubted(() -> doubts[0]++);
        submit(job(16, 600), leader());
        mFleet.mTime.run(READY_MILLIS + 900);
        assertThat(doubts[0], is(0));
    }

    /** Pauses the leader, which reads that a caller has disconnected after all else. */
    private void pauseAndDisconnect(SimulatedInstance leader, WorkSpec job) {
        Runnable withdrawal = () -> leader.dispatcher().withdraw(job.id(), "caller");
        leader.onCallersDoubted(withdrawal);
        leader.process().pause(300);
        mFleet.mTime.after(299, () -> leader.process().execute(withdrawal));
    }

    private SimulatedInstance leader() {
        return leader(mFleet);
    }

    private static SimulatedInstance leader(FleetSimulation fleet) {
        return fleet.upInstances().stream()
                .filter(SimulatedInstance::isLeader)
                .findFirst()
                .orElseThrow();
    }

    private List<SimulatedInstance> followers() {
        return followers(mFleet);
    }

    private static List<SimulatedInstance> followers(FleetSimulation fleet) {
        return fleet.upInstances().stream().filter(each -> !each.isLeader()).toList();
    }

    private static void submitUnwatched(WorkSpec job, SimulatedInstance home) {
        home.process().execute(() -> home.dispatcher().submit(job, 4000, "caller", outcome -> {}));
    }

    private void submit(WorkSpec job, SimulatedInstance home) {
        home.process()
                .execute(
                        () ->
                                home.dispatcher()
                                        .submit(
                                                job,
                                                4000,
                                                "caller",
                                                outcome -> mOutcomes.add(outcome.kind())));
        mFleet.mTime.run(mFleet.mTime.nowMillis() + 10);
    }

    private static WorkSpec job(int tasks, long estimateMillis) {
        return WorkSpec.of(
                JOB,
                SimulatedServer.SERVICE,
                Long.toString(estimateMillis),
                List.of(StepSpec.of(tasks, SimulatedServer.DEMAND, estimateMillis)),
                QueueTerms.of(0, 6, 60, 3));
    }
}
