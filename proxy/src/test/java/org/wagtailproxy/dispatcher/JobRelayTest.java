package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

class JobRelayTest {

    private static final long READY_MILLIS = 4000;
    private static final JobId JOB = new JobId("00000000000000a1");

    private final FleetSimulation mFleet =
            new FleetSimulation(1, new FleetSimulation.Size(List.of("pwani-a"), 4));

    @Test
    void testJobIsSubmittedToNextLeader() {
        submitAndKillLeader();
        mFleet.mTime.run(READY_MILLIS + 2000);
        assertThat(submissions(), hasSize(greaterThan(1)));
    }

    @Test
    void testJobOfDisconnectedCallerIsNotSubmittedToNextLeader() {
        SimulatedInstance home = submitAndKillLeader();
        home.onCallersDoubted(() -> home.dispatcher().withdraw(JOB, "caller"));
        mFleet.mTime.run(READY_MILLIS + 2000);
        assertThat(submissions(), hasSize(1));
    }

    /** Guards against jobs that wait for the leases of runs that their dead leader cannot have. */
    @Test
    void testJobThatNeverReachedItsLeaderIsNewToTheNextOne() {
        mFleet.mTime.run(READY_MILLIS);
        SimulatedInstance home = follower();
        killLeader();
        mFleet.mTime.run(READY_MILLIS + 10);
        List<WorkOutcome> outcomes = new ArrayList<>();
        home.process()
                .execute(() -> home.dispatcher().submit(job(), 4000, "caller", outcomes::add));
        mFleet.mTime.run(READY_MILLIS + 2500);
        assertThat(submissions(), hasSize(greaterThan(1)));
        assertThat(submissions(), everyItem(containsString("attempt=0")));
        assertThat(outcomes, hasSize(1));
        assertThat(outcomes.get(0).kind(), is(WorkOutcome.Kind.COMPLETE));
    }

    private SimulatedInstance follower() {
        return mFleet.upInstances().stream()
                .filter(each -> !each.isLeader())
                .findFirst()
                .orElseThrow();
    }

    private void killLeader() {
        mFleet.upInstances().stream()
                .filter(SimulatedInstance::isLeader)
                .forEach(SimulatedInstance::kill);
    }

    private SimulatedInstance submitAndKillLeader() {
        mFleet.mTime.run(READY_MILLIS);
        SimulatedInstance home = follower();
        home.process()
                .execute(() -> home.dispatcher().submit(job(), 4000, "caller", outcome -> {}));
        mFleet.mTime.run(READY_MILLIS + 50);
        killLeader();
        return home;
    }

    private List<String> submissions() {
        return mFleet.mTime.trace(List.of("job-passed-on"));
    }

    private static WorkSpec job() {
        return WorkSpec.of(
                JOB,
                SimulatedServer.SERVICE,
                "600",
                List.of(StepSpec.of(4, SimulatedServer.DEMAND, 600)),
                QueueTerms.of(0, 6, 60, 3));
    }
}
