package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
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

    private SimulatedInstance submitAndKillLeader() {
        mFleet.mTime.run(READY_MILLIS);
        SimulatedInstance home =
                mFleet.upInstances().stream()
                        .filter(each -> !each.isLeader())
                        .findFirst()
                        .orElseThrow();
        home.process()
                .execute(() -> home.dispatcher().submit(job(), 4000, "caller", outcome -> {}));
        mFleet.mTime.run(READY_MILLIS + 50);
        mFleet.upInstances().stream()
                .filter(SimulatedInstance::isLeader)
                .forEach(SimulatedInstance::kill);
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
