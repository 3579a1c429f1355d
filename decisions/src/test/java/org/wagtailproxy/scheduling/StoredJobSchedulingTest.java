package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkSpec;

/** Plays stored jobs on simulated servers: what must be saved before a server may forget it. */
class StoredJobSchedulingTest {

    private static final ResourceAmount DEMAND = ResourceAmount.of(14_000, 64, 0);

    private final ServerSimulation mSimulation = new ServerSimulation();
    private int mJobs;

    private void fleet(int servers, long workMillis) {
        for (int number = 0; number < servers; number++) {
            mSimulation.add("s" + number, 1, 32_000).mWorkMillis = workMillis;
        }
        mSimulation.mScheduler.storedJobs().setUnreadJobsPossible(true, mSimulation.nowNanos());
        mSimulation.mScheduler.storedJobs().onAllRead(mSimulation.nowNanos());
        mSimulation.run(100);
    }

    private StoredJob job(StepSpec... steps) {
        JobId id = new JobId(String.format("%016x", ++mJobs));
        QueueTerms terms = QueueTerms.of(0, 1.6, 60, 2);
        WorkSpec spec =
                WorkSpec.of(id, ServerSimulation.SERVICE, "text", List.of(steps), terms)
                        .withStorage("queue");
        return StoredJob.of(spec);
    }

    private void keep(StoredJob job, int highestAttempt) {
        mSimulation.mScheduler.storedJobs().add(job, highestAttempt, mSimulation.nowNanos());
        mSimulation.flush();
    }

    /** The scheduler of the next keeper begins with what the store has. */
    private void nextKeeper(StoredJob stored) {
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(30);
        keep(stored, 64);
        mSimulation.mScheduler.storedJobs().onAllRead(mSimulation.nowNanos());
    }

    private StoredJob stored(StoredJob job) {
        return mSimulation.mStored.get(job.spec().id());
    }

    @Test
    void testStepWaitsForTheStepsBeforeIt() {
        fleet(4, 60);
        StoredJob job =
                job(StepSpec.of(2, DEMAND, 60), new StepSpec(3, DEMAND, 60, List.of(0), "", "", 0));
        keep(job, 0);
        mSimulation.run(50);
        assertThat(mSimulation.mStarts, is(2));
        mSimulation.run(200);
        assertThat(stored(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, is(5));
    }

    @Test
    void testEndThatIsNotSavedIsFoundByTheNextKeeper() {
        fleet(3, 60);
        StoredJob job = job(StepSpec.of(4, DEMAND, 60));
        mSimulation.mSaves = false;
        keep(job, 0);
        mSimulation.run(150);
        assertThat(mSimulation.mDone.values(), hasSize(4));
        mSimulation.mSaves = true;
        // The store has nothing but the accepted job.
        nextKeeper(job);
        mSimulation.run(2000);
        assertThat(stored(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, is(4));
    }

    @Test
    void testEndsBeforeTheJobsAreReadAreNotForgotten() {
        fleet(3, 60);
        StoredJob job = job(StepSpec.of(4, DEMAND, 60));
        mSimulation.mSaves = false;
        keep(job, 0);
        mSimulation.run(40);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(800);
        mSimulation.mSaves = true;
        keep(job, 64);
        mSimulation.mScheduler.storedJobs().onAllRead(mSimulation.nowNanos());
        mSimulation.run(2000);
        assertThat(stored(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mDone.values().stream().allMatch(times -> times == 1), is(true));
    }

    @Test
    void testTasksOfATermThatWasGivenUpAreNotRunBesideTheirStoppedRuns() {
        fleet(3, 300);
        StoredJob job = job(StepSpec.of(4, DEMAND, 300));
        keep(job, 0);
        mSimulation.run(280);
        mSimulation.mScheduler.storedJobs().abandonAll(mSimulation.nowNanos());
        mSimulation.flush();
        keep(job, 64);
        mSimulation.mScheduler.storedJobs().onAllRead(mSimulation.nowNanos());
        mSimulation.run(3000);
        assertThat(stored(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mDone.values().stream().allMatch(times -> times == 1), is(true));
    }

    @Test
    void testEndOfARunThatIsGivenUpCounts() {
        fleet(1, 100);
        StoredJob job = job(StepSpec.of(1, DEMAND, 100));
        keep(job, 0);
        mSimulation.run(99);
        // The stop comes too late: the run is done before it arrives.
        mSimulation.mScheduler.storedJobs().abandonAll(mSimulation.nowNanos());
        mSimulation.run(50);
        keep(job, 64);
        mSimulation.mScheduler.storedJobs().onAllRead(mSimulation.nowNanos());
        mSimulation.flush();
        mSimulation.run(2000);
        assertThat(stored(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, is(1));
    }

    @Test
    void testTaskThatWasInterruptedGoesOnFromItsCheckpoint() {
        fleet(2, 3000);
        mSimulation.mServers.values().forEach(server -> server.mCheckpoints = true);
        StoredJob job = job(StepSpec.of(1, DEMAND, 3000));
        keep(job, 0);
        mSimulation.run(2500);
        var first = mSimulation.mServers.values().stream().filter(s -> !s.mRunning.isEmpty());
        first.forEach(ServerSimulation.SimulatedServer::die);
        // The lease has to run out first; begun anew it would take 3,000 ms beyond that.
        mSimulation.run(2900);
        assertThat(stored(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, is(2));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testNextKeeperGoesOnFromTheCheckpointOfAnEndThatWasNotSaved() {
        fleet(1, 1000);
        var server = mSimulation.mServers.values().iterator().next();
        server.mCheckpoints = true;
        StoredJob job = job(StepSpec.of(1, DEMAND, 1000));
        keep(job, 0);
        mSimulation.run(700);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        // The run of the earlier keeper is stopped, since nobody knows its job yet.
        mSimulation.run(400);
        keep(job, 64);
        mSimulation.mScheduler.storedJobs().onAllRead(mSimulation.nowNanos());
        mSimulation.run(450);
        assertThat(stored(job).state(), is(StoredJob.State.COMPLETE));
    }

    private StoredJob lasting(StepSpec step) {
        return StoredJob.of(job(step).spec().asLongRunning());
    }

    @Test
    void testLastingTaskIsStartedAgainHoweverOftenItEnds() {
        fleet(2, 100);
        mSimulation.mServers.values().iterator().next().mFails = true;
        StoredJob job = lasting(StepSpec.of(2, DEMAND, 100));
        keep(job, 0);
        mSimulation.run(3000);
        // Two failures would end a job of another kind.
        assertThat(mSimulation.mStarts, is(greaterThan(20)));
        assertThat(mSimulation.mScheduler.phase(job.spec().id()), is(JobPhase.BEGUN));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testLastingTaskThatTellsNoProgressIsLeftAlone() {
        fleet(1, 60_000);
        mSimulation.mServers.values().forEach(server -> server.mHangs = true);
        keep(lasting(StepSpec.of(1, DEMAND, 100)), 0);
        mSimulation.run(5000);
        assertThat(mSimulation.mStarts, is(1));
        assertThat(running(), is(1));
    }

    @Test
    void testCancelledLastingJobIsStopped() {
        fleet(1, 60_000);
        StoredJob job = lasting(StepSpec.of(2, DEMAND, 100));
        keep(job, 0);
        mSimulation.run(500);
        mSimulation.mScheduler.storedJobs().cancel(job.spec().id(), mSimulation.nowNanos());
        mSimulation.flush();
        mSimulation.run(100);
        assertThat(running(), is(0));
        assertThat(stored(job).state(), is(StoredJob.State.CANCELLED));
    }

    @Test
    void testTasksGoOnWhileTheNextKeeperReadsTheJobs() {
        fleet(1, 60_000);
        StoredJob job = lasting(StepSpec.of(2, DEMAND, 100));
        keep(job, 0);
        mSimulation.run(500);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        // Longer than runs of jobs that are not stored are left alone, shorter than their lease.
        mSimulation.run(450);
        assertThat(running(), is(2));
        keep(job, 64);
        mSimulation.mScheduler.storedJobs().onAllRead(mSimulation.nowNanos());
        mSimulation.run(3000);
        assertThat(running(), is(2));
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testRunsOfNobodyAreStoppedAsSoonAsTheJobsAreRead() {
        fleet(1, 60_000);
        keep(lasting(StepSpec.of(2, DEMAND, 100)), 0);
        mSimulation.run(500);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(400);
        assertThat(running(), is(2));
        mSimulation.mScheduler.storedJobs().onAllRead(mSimulation.nowNanos());
        mSimulation.run(50);
        assertThat(running(), is(0));
    }

    private int running() {
        return mSimulation.mServers.values().stream().mapToInt(s -> s.mRunning.size()).sum();
    }

    @Test
    void testEndsOfUnknownJobsAreForgottenWhereNothingIsStored() {
        fleet(1, 60);
        StoredJob job = job(StepSpec.of(2, DEMAND, 60));
        mSimulation.mSaves = false;
        keep(job, 0);
        mSimulation.run(40);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(300);
        var server = mSimulation.mServers.values().iterator().next();
        assertThat(server.listedEnds(), greaterThan(0));
        mSimulation.mScheduler.storedJobs().setUnreadJobsPossible(false, mSimulation.nowNanos());
        mSimulation.run(100);
        assertThat(server.listedEnds(), is(0));
    }

    @Test
    void testFailuresOfEarlierKeepersCount() {
        fleet(2, 60);
        mSimulation.mServers.values().forEach(server -> server.mFails = true);
        StoredJob job = job(StepSpec.of(1, DEMAND, 60));
        keep(job, 0);
        mSimulation.run(75);
        StoredJob stored = stored(job);
        assertThat(stored.failures().values().iterator().next(), is(1));
        nextKeeper(stored);
        mSimulation.run(3000);
        assertThat(stored(job).state(), is(StoredJob.State.FAILED));
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testCancelledJobIsStoppedAndNothingMoreIsStarted() {
        fleet(2, 900);
        StoredJob job =
                job(
                        StepSpec.of(2, DEMAND, 900),
                        new StepSpec(2, DEMAND, 60, List.of(0), "", "", 0));
        keep(job, 0);
        mSimulation.run(50);
        mSimulation.mScheduler.storedJobs().cancel(job.spec().id(), mSimulation.nowNanos());
        mSimulation.flush();
        mSimulation.run(200);
        assertThat(stored(job).state(), is(StoredJob.State.CANCELLED));
        mSimulation.mServers.values().forEach(s -> assertThat(s.mRunning.keySet(), is(empty())));
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testStoredJobIsNeverGivenUpWhenItIsLate() {
        fleet(1, 400);
        StoredJob first = job(StepSpec.of(8, DEMAND, 60));
        keep(first, 0);
        mSimulation.run(4000);
        assertThat(stored(first).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, greaterThan(7));
    }

    @Test
    void testWhatIsDoneIsNotRunAgain() {
        fleet(2, 60);
        StoredJob job = job(StepSpec.of(3, DEMAND, 60));
        JobId id = job.spec().id();
        StoredJob half =
                new StoredJob(
                        job.spec(),
                        StoredJob.State.OPEN,
                        List.of(TaskId.of(id, 0, 0), TaskId.of(id, 0, 2)),
                        job.failures());
        keep(half, 64);
        mSimulation.run(2000);
        assertThat(mSimulation.mStarts, is(1));
        assertThat(stored(job).state(), is(StoredJob.State.COMPLETE));
    }
}
