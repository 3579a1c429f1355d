package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
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

    private SimulatedInstance leader() {
        return mFleet.upInstances().stream()
                .filter(SimulatedInstance::isLeader)
                .findFirst()
                .orElseThrow();
    }

    private List<SimulatedInstance> followers() {
        return mFleet.upInstances().stream().filter(each -> !each.isLeader()).toList();
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
