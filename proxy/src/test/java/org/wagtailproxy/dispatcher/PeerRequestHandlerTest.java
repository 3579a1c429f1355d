package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

/** Tests requests that arrive while the leader is paused, so that it reads them together. */
class PeerRequestHandlerTest {

    private static final long READY_MILLIS = 4000;
    private static final JobId JOB = new JobId("00000000000000a1");

    private final FleetSimulation mFleet =
            new FleetSimulation(1, new FleetSimulation.Size(List.of("pwani-a"), 4));
    private final List<WorkOutcome.Kind> mOutcomes = new ArrayList<>();
    private SimulatedInstance mHome;

    @BeforeEach
    void startFleetAndPauseLeader() {
        mFleet.mTime.run(READY_MILLIS);
        mHome =
                mFleet.upInstances().stream()
                        .filter(each -> !each.isLeader())
                        .findFirst()
                        .orElseThrow();
        leader().process().pause(150);
    }

    @Test
    void testJobThatIsWithdrawnBeforeLeaderReadsItIsNotPlaced() {
        submit();
        withdraw();
        mFleet.mTime.run(READY_MILLIS + 1000);
        assertThat(mFleet.mTime.trace(List.of("task-placed")), is(empty()));
        assertThat(mOutcomes, is(empty()));
    }

    @Test
    void testJobThatIsSubmittedAgainAfterItsWithdrawalCompletes() {
        submit();
        withdraw();
        submit();
        mFleet.mTime.run(READY_MILLIS + 1000);
        assertThat(mFleet.mStarts, is(2));
        assertThat(mOutcomes, contains(WorkOutcome.Kind.COMPLETE));
    }

    private SimulatedInstance leader() {
        return mFleet.upInstances().stream()
                .filter(SimulatedInstance::isLeader)
                .findFirst()
                .orElseThrow();
    }

    private void submit() {
        mHome.process()
                .execute(
                        () ->
                                mHome.dispatcher()
                                        .submit(
                                                job(),
                                                4000,
                                                "caller",
                                                outcome -> mOutcomes.add(outcome.kind())));
        mFleet.mTime.run(mFleet.mTime.nowMillis() + 10);
    }

    private void withdraw() {
        mHome.process().execute(() -> mHome.dispatcher().withdraw(JOB, "caller"));
        mFleet.mTime.run(mFleet.mTime.nowMillis() + 10);
    }

    private static WorkSpec job() {
        return WorkSpec.of(
                JOB,
                SimulatedServer.SERVICE,
                "100",
                List.of(StepSpec.of(2, SimulatedServer.DEMAND, 100)),
                QueueTerms.of(0, 6, 60, 3));
    }
}
