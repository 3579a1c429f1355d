package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

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
                new JobId("00000000000000a1"),
                SimulatedServer.SERVICE,
                Long.toString(estimateMillis),
                List.of(StepSpec.of(tasks, SimulatedServer.DEMAND, estimateMillis)),
                QueueTerms.of(0, 6, 60, 3));
    }
}
