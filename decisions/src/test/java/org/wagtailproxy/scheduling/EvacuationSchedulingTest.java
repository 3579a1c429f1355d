package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.scheduling.ServerSimulation.SimulatedServer;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Plays the evacuation of one of two data centres of a pool under load. */
class EvacuationSchedulingTest {

    private static final DataCentre A = DataCentre.of("pwani-a");
    private static final DataCentre B = DataCentre.of("pwani-b");
    private static final ResourceAmount DEMAND = ResourceAmount.of(14_000, 64, 0);
    private static final long TASK_MILLIS = 60;

    private final ServerSimulation mSimulation = new ServerSimulation();
    private final List<JobId> mJobs = new ArrayList<>();

    private void addServers(int servers, DataCentre dataCentre) {
        for (int number = 0; number < servers; number++) {
            String id = dataCentre.value() + number;
            SimulatedServer server = mSimulation.addUnlisted(id, 1, 32_000);
            server.mDataCentre = dataCentre;
            server.mListed = true;
        }
        mSimulation.list();
        mSimulation.run(200);
    }

    private void evacuate(long revision, DataCentre... dataCentres) {
        mSimulation.mScheduler.evacuation().update(new Evacuations(revision, Set.of(dataCentres)));
    }

    private JobId submit() {
        JobId id = new JobId(String.format("%016x", mJobs.size() + 1));
        mJobs.add(id);
        long now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                WorkSpec.of(
                        id,
                        ServerSimulation.SERVICE,
                        "text",
                        List.of(StepSpec.of(2, DEMAND, TASK_MILLIS)),
                        QueueTerms.of(0, 1.6, 60, 3)),
                WorkProgress.NONE,
                now,
                now + 3000 * ServerSimulation.NANOS_PER_MILLI,
                now);
        mSimulation.mScheduler.refuseIfUnattainable(id, now);
        mSimulation.flush();
        return id;
    }

    /** Submits a job of two tasks every few milliseconds. */
    private void load(int jobs, long intervalMillis) {
        for (int job = 0; job < jobs; job++) {
            submit();
            mSimulation.run(intervalMillis);
        }
    }

    private int startsIn(DataCentre dataCentre) {
        return mSimulation.mServers.values().stream()
                .filter(server -> server.mDataCentre.equals(dataCentre))
                .mapToInt(server -> server.mOwnStarts)
                .sum();
    }

    private long outcomes(WorkOutcome.Kind kind) {
        return mJobs.stream()
                .filter(job -> mSimulation.outcome(job).equals(Option.some(kind)))
                .count();
    }

    @Test
    void testEvacuatedServersGetNoTaskUnderLoadAndNothingIsStopped() {
        addServers(4, A);
        addServers(4, B);
        load(50, 10);
        int startsBefore = startsIn(A);
        evacuate(1, A);
        load(100, 20);
        mSimulation.run(500);
        assertThat(startsIn(A), is(startsBefore));
        assertThat(outcomes(WorkOutcome.Kind.COMPLETE), is(150L));
        assertThat(mSimulation.mStarts, is(300));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testRefusalsCountTheCapacityWithoutTheEvacuatedServers() {
        addServers(4, A);
        addServers(1, B);
        evacuate(1, A);
        load(100, 10);
        mSimulation.run(500);
        assertThat(startsIn(A), is(0));
        assertThat(outcomes(WorkOutcome.Kind.REFUSED), is(greaterThan(50L)));
        assertThat(outcomes(WorkOutcome.Kind.COMPLETE), is(greaterThan(15L)));
        assertThat(outcomes(WorkOutcome.Kind.ABANDONED), is(0L));
    }

    @Test
    void testServersThatAreTakenBackGetTasksAtOnce() {
        addServers(2, A);
        addServers(2, B);
        evacuate(1, A);
        load(20, 30);
        evacuate(2);
        load(50, 15);
        mSimulation.run(500);
        assertThat(startsIn(A), is(greaterThan(30)));
        assertThat(outcomes(WorkOutcome.Kind.COMPLETE), is(70L));
    }

    @Test
    void testServerThatIsListedDuringTheEvacuationGetsNoTask() {
        addServers(1, B);
        evacuate(1, A);
        addServers(2, A);
        load(20, 40);
        assertThat(startsIn(A), is(0));
    }

    @Test
    void testEvacuationOfAllServersIsKnownAndEndsWhenOneIsTakenBack() {
        addServers(2, A);
        addServers(2, B);
        evacuate(1, A, B);
        assertThat(mSimulation.mScheduler.evacuation().isComplete(), is(true));
        JobId refused = submit();
        mSimulation.mScheduler.evacuation().refuseUnstarted(refused, mSimulation.nowNanos());
        assertThat(mSimulation.outcome(refused), is(Option.some(WorkOutcome.Kind.REFUSED)));
        assertThat(mSimulation.mStarts, is(0));
        evacuate(2, A);
        assertThat(mSimulation.mScheduler.evacuation().isComplete(), is(false));
        JobId served = submit();
        mSimulation.run(200);
        assertThat(mSimulation.outcome(served), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(startsIn(A), is(0));
    }

    @Test
    void testSchedulerWithoutServersIsNotEvacuated() {
        evacuate(1, A);
        assertThat(mSimulation.mScheduler.evacuation().isComplete(), is(false));
    }
}
