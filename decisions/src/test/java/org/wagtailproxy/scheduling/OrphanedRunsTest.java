package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

class OrphanedRunsTest {

    private final ServerSimulation mSimulation = new ServerSimulation();

    private void submit(String id) {
        submit(id, WorkProgress.NONE);
    }

    private void submit(String id, WorkProgress progress) {
        StepSpec step = StepSpec.of(2, ResourceAmount.of(14_000, 64, 0), 900);
        WorkSpec spec =
                WorkSpec.of(
                        new JobId(id),
                        ServerSimulation.SERVICE,
                        "text",
                        List.of(step),
                        QueueTerms.of(2, 1.6, 60, 3));
        long now = mSimulation.nowNanos();
        long deadlineNanos = now + 3000 * ServerSimulation.NANOS_PER_MILLI;
        mSimulation.mScheduler.submit(spec, progress, now, deadlineNanos, now);
        mSimulation.flush();
    }

    @Test
    void testLaterAttemptOfTaskReplacesTheKnownOne() {
        TaskId task = TaskId.of(new JobId("0000000000000001"), 0, 0);
        OrphanedRuns runs = new OrphanedRuns();
        runs.update(List.of(new RunReport(task, 1, 0, "")), 1);
        runs.update(List.of(new RunReport(task, 18, 0, "")), 2);
        runs.remove(task, 1);
        List<Integer> offered = new ArrayList<>();
        runs.offer((report, sinceNanos) -> offered.add(report.attempt()));
        assertThat(offered, contains(18));
        assertThat(runs.isEmpty(), is(true));
    }

    @Test
    void testServerWhoseOrphanedRunsAreBeingStoppedGetsNoTaskBeforeTheyHaveEnded() {
        mSimulation.add("s0", 1, 32_000).mWorkMillis = 5000;
        mSimulation.run(100);
        submit("0000000000000001");
        mSimulation.run(100);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(100);
        submit("0000000000000002");
        mSimulation.run(400);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mStarts, is(4));
    }

    @Test
    void testAdoptedRunDoesNotLowerAttemptsThatNextLeaderIsTold() {
        ServerSimulation.SimulatedServer server = mSimulation.add("s0", 1, 32_000);
        server.mWorkMillis = 2000;
        mSimulation.run(100);
        JobId job = new JobId("0000000000000001");
        server.addRunOfEarlierLeader(server.mToken, job, 2);
        submit(job.value(), WorkProgress.of(List.of(), 65));
        mSimulation.run(100);
        WorkProgress progress = mSimulation.mScheduler.stepDown().get(job);
        assertThat(progress.highestAttempt(), is(greaterThanOrEqualTo(65)));
        assertThat(mSimulation.mStarts, is(0));
    }

    @Test
    void testRunThatIsReportedWhileAnEarlierOneIsTrackedIsAdopted() {
        ServerSimulation.SimulatedServer server = mSimulation.add("s0", 1, 32_000);
        server.mWorkMillis = 2000;
        mSimulation.run(100);
        JobId job = new JobId("0000000000000001");
        submit(job.value());
        mSimulation.run(50);
        mSimulation.add("s1", 1, 32_000).mWorkMillis = 2000;
        mSimulation.run(100);
        server.mRunning.clear();
        server.addRunOfEarlierLeader(server.mToken + 1, job, 18);
        submit(job.value(), WorkProgress.of(List.of(), 18).runningOnlyOn(Set.of(server.mId)));
        mSimulation.run(600);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mStarts, is(2));
    }
}
