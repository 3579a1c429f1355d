package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Tests scheduling of stored jobs on simulated servers: ends must be saved before a server may
 * discard them, and a new coordinator must neither lose nor repeat tasks.
 */
class StoredJobSchedulingTest extends StoredJobFixture {

    @Test
    void testStepWaitsForTheStepsBeforeIt() {
        addServers(4, 60);
        StoredJob job =
                job(StepSpec.of(2, DEMAND, 60), new StepSpec(3, DEMAND, 60, List.of(0), "", "", 0));
        addStoredJob(job, 0);
        mSimulation.run(50);
        assertThat(mSimulation.mStarts, is(2));
        mSimulation.run(200);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, is(5));
    }

    @Test
    void testTaskOnServerRemovedLongAgoIsNotRunTwiceByNextCoordinator() {
        addServers(3, 20_000);
        StoredJob job = job(StepSpec.of(2, DEMAND, 20_000));
        addStoredJob(job, 0);
        mSimulation.run(100);
        for (var server : mSimulation.mServers.values()) {
            server.mListed = server.mRunning.isEmpty();
        }
        mSimulation.list();
        mSimulation.run(8000);
        changeCoordinator(job);
        mSimulation.run(3000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mStarts, is(4));
    }

    @Test
    void testUnsavedEndIsRecoveredByNextCoordinator() {
        addServers(3, 60);
        StoredJob job = job(StepSpec.of(4, DEMAND, 60));
        mSimulation.mSaves = false;
        addStoredJob(job, 0);
        mSimulation.run(150);
        assertThat(mSimulation.mDone.values(), hasSize(4));
        mSimulation.mSaves = true;
        // The store contains only the accepted job.
        changeCoordinator(job);
        mSimulation.run(2000);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, is(4));
    }

    @Test
    void testEndsReportedBeforeJobsAreReadAreRetained() {
        addServers(3, 60);
        StoredJob job = job(StepSpec.of(4, DEMAND, 60));
        mSimulation.mSaves = false;
        addStoredJob(job, 0);
        mSimulation.run(40);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(800);
        mSimulation.mSaves = true;
        addStoredJob(job, 64);
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(2000);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mDone.values().stream().allMatch(times -> times == 1), is(true));
    }

    @Test
    void testTasksOfAbandonedTermAreNotRunConcurrentlyWithStoppedRuns() {
        addServers(3, 300);
        StoredJob job = job(StepSpec.of(4, DEMAND, 300));
        addStoredJob(job, 0);
        mSimulation.run(280);
        mSimulation.mScheduler.storedJobs().abandonAll(mSimulation.nowNanos());
        mSimulation.flush();
        addStoredJob(job, 64);
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(3000);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mDone.values().stream().allMatch(times -> times == 1), is(true));
    }

    @Test
    void testEndOfAbandonedRunCounts() {
        addServers(1, 100);
        StoredJob job = job(StepSpec.of(1, DEMAND, 100));
        addStoredJob(job, 0);
        mSimulation.run(99);
        // The stop arrives too late: the run is already done.
        mSimulation.mScheduler.storedJobs().abandonAll(mSimulation.nowNanos());
        mSimulation.run(50);
        addStoredJob(job, 64);
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.flush();
        mSimulation.run(2000);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, is(1));
    }

    @Test
    void testInterruptedTaskResumesFromItsCheckpoint() {
        addServers(2, 3000);
        mSimulation.mServers.values().forEach(server -> server.mCheckpoints = true);
        StoredJob job = job(StepSpec.of(1, DEMAND, 3000));
        addStoredJob(job, 0);
        mSimulation.run(2500);
        var runningServer =
                mSimulation.mServers.values().stream().filter(s -> !s.mRunning.isEmpty());
        runningServer.forEach(ServerSimulation.SimulatedServer::terminate);
        // The lease must expire first. Without the checkpoint the task would take another 3,000 ms.
        mSimulation.run(2900);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, is(2));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testNextCoordinatorResumesFromCheckpointOfUnsavedEnd() {
        addServers(1, 1000);
        var server = mSimulation.mServers.values().iterator().next();
        server.mCheckpoints = true;
        StoredJob job = job(StepSpec.of(1, DEMAND, 1000));
        addStoredJob(job, 0);
        mSimulation.run(700);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        // The run of the earlier coordinator is stopped, since its job is not known yet.
        mSimulation.run(400);
        addStoredJob(job, 64);
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(450);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
    }

    @Test
    void testLongRunningTaskIsRestartedHoweverOftenItEnds() {
        addServers(2, 100);
        mSimulation.mServers.values().iterator().next().mFails = true;
        StoredJob job = longRunningJob(StepSpec.of(2, DEMAND, 100));
        addStoredJob(job, 0);
        mSimulation.run(3000);
        // Two failures would end a job that is not long-running.
        assertThat(mSimulation.mStarts, is(greaterThan(20)));
        assertThat(mSimulation.mScheduler.phase(job.spec().id()), is(JobPhase.BEGUN));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testLongRunningTaskWithoutProgressIsNotStopped() {
        addServers(1, 60_000);
        mSimulation.mServers.values().forEach(server -> server.mHangs = true);
        addStoredJob(longRunningJob(StepSpec.of(1, DEMAND, 100)), 0);
        mSimulation.run(5000);
        assertThat(mSimulation.mStarts, is(1));
        assertThat(runningTasks(), is(1));
    }

    @Test
    void testCancelledLongRunningJobIsStopped() {
        addServers(1, 60_000);
        StoredJob job = longRunningJob(StepSpec.of(2, DEMAND, 100));
        addStoredJob(job, 0);
        mSimulation.run(500);
        mSimulation.mScheduler.storedJobs().cancel(job.spec().id(), mSimulation.nowNanos());
        mSimulation.flush();
        mSimulation.run(100);
        assertThat(runningTasks(), is(0));
        assertThat(savedJob(job).state(), is(StoredJob.State.CANCELLED));
    }

    @Test
    void testTasksContinueWhileNextCoordinatorReadsTheJobs() {
        addServers(1, 60_000);
        StoredJob job = longRunningJob(StepSpec.of(2, DEMAND, 100));
        addStoredJob(job, 0);
        mSimulation.run(500);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        // Longer than the time after which orphaned runs of jobs that are not stored are stopped,
        // shorter than their lease.
        mSimulation.run(450);
        assertThat(runningTasks(), is(2));
        addStoredJob(job, 64);
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(3000);
        assertThat(runningTasks(), is(2));
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testOrphanedRunsAreStoppedAsSoonAsTheJobsAreRead() {
        addServers(1, 60_000);
        addStoredJob(longRunningJob(StepSpec.of(2, DEMAND, 100)), 0);
        mSimulation.run(500);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(400);
        assertThat(runningTasks(), is(2));
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(50);
        assertThat(runningTasks(), is(0));
    }

    /** Guards against a new leader that acknowledges ends of jobs that it has not heard of. */
    @Test
    void testEndsOfStoredJobsAreRetainedByLeaderThatKnowsOfNoStoredJob() {
        addServers(3, 60);
        StoredJob job = job(StepSpec.of(4, DEMAND, 60));
        mSimulation.mSaves = false;
        addStoredJob(job, 0);
        mSimulation.run(40);
        for (int loss = 0; loss < 2; loss++) {
            mSimulation.mScheduler.stepDown();
            mSimulation.list();
            mSimulation
                    .mScheduler
                    .storedJobs()
                    .setUnreadJobsPossible(false, mSimulation.nowNanos());
            mSimulation.run(400);
        }
        assertThat(listedEnds(), is(4));
        mSimulation.mSaves = true;
        addStoredJob(job, 64);
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(4000);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mStarts, is(4));
        assertThat(listedEnds(), is(0));
    }

    /** Stored jobs must not cost fleets that have none: their ends need no store. */
    @Test
    void testEndsOfOtherJobsAreAcknowledgedBeforeStoredJobsAreRead() {
        addServers(1, 60);
        WorkSpec spec =
                WorkSpec.of(
                        new JobId(String.format("%016x", ++mJobs)),
                        ServerSimulation.SERVICE,
                        "text",
                        List.of(StepSpec.of(2, DEMAND, 60)),
                        QueueTerms.of(0, 1.6, 60, 2));
        long nowNanos = mSimulation.nowNanos();
        long deadlineNanos = nowNanos + 5000 * ServerSimulation.NANOS_PER_MILLI;
        mSimulation.mScheduler.submit(spec, WorkProgress.NONE, nowNanos, deadlineNanos, nowNanos);
        mSimulation.flush();
        mSimulation.run(40);
        assertThat(mSimulation.mStarts, is(2));
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.mScheduler.storedJobs().setUnreadJobsPossible(false, mSimulation.nowNanos());
        mSimulation.run(400);
        assertThat(mSimulation.mDone.values(), hasSize(2));
        assertThat(listedEnds(), is(0));
    }

    /** Attempts of a build that numbered them alike are told apart only by what is known. */
    @Test
    void testEndsOfUnknownJobsAreRetainedWhileStoredJobsArePossible() {
        addServers(1, 60);
        JobId id = job(StepSpec.of(2, DEMAND, 60)).spec().id();
        var server = mSimulation.mServers.values().iterator().next();
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        server.addRunOfEarlierLeader(server.mToken, id, 1);
        mSimulation.run(300);
        assertThat(listedEnds(), is(2));
        mSimulation.mScheduler.storedJobs().setUnreadJobsPossible(false, mSimulation.nowNanos());
        mSimulation.run(100);
        assertThat(listedEnds(), is(0));
    }

    /** Guards against counting every job of an earlier coordinator as begun. */
    @Test
    void testJobThatNoCoordinatorHasBegunIsWaiting() {
        addServers(1, 60_000);
        StoredJob begun = job(StepSpec.of(2, DEMAND, 60_000));
        StoredJob waiting = job(StepSpec.of(1, DEMAND, 60_000));
        addStoredJob(begun, 0);
        addStoredJob(waiting, 0);
        mSimulation.run(100);
        assertThat(phase(waiting), is(JobPhase.WAITING));
        changeCoordinator(begun);
        addStoredJob(waiting, 64);
        mSimulation.run(4000);
        assertThat(phase(begun), is(JobPhase.ENDING));
        assertThat(phase(waiting), is(JobPhase.WAITING));
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testFailuresUnderEarlierCoordinatorsCount() {
        addServers(2, 60);
        mSimulation.mServers.values().forEach(server -> server.mFails = true);
        StoredJob job = job(StepSpec.of(1, DEMAND, 60));
        addStoredJob(job, 0);
        mSimulation.run(75);
        StoredJob saved = savedJob(job);
        assertThat(saved.failedAttempts().values().iterator().next(), hasSize(1));
        changeCoordinator(saved);
        mSimulation.run(3000);
        assertThat(savedJob(job).state(), is(StoredJob.State.FAILED));
        assertThat(mSimulation.mStarts, is(2));
    }

    /** Guards against counting a failure again that is saved, but whose end is still listed. */
    @Test
    void testSavedFailureIsNotCountedAgainByNextCoordinators() {
        addServers(2, 60);
        mSimulation.mServers.values().forEach(server -> server.mFails = true);
        StoredJob job = job(StepSpec.of(1, DEMAND, 60));
        mSimulation.mSaves = false;
        addStoredJob(job, 0);
        mSimulation.run(63);
        StoredJob saved = savedJob(job);
        assertThat(saved.failedAttempts().values().iterator().next(), hasSize(1));
        mSimulation.mServers.values().forEach(server -> server.mFails = false);
        changeCoordinator(saved);
        mSimulation.run(30);
        changeCoordinator(saved);
        mSimulation.mSaves = true;
        mSimulation.run(6000);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(savedJob(job).failedAttempts().values().iterator().next(), hasSize(1));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testSavedFailureIsNotCountedAgainAfterTermIsGivenUpAndBegunAgain() {
        addServers(2, 60);
        mSimulation.mServers.values().forEach(server -> server.mFails = true);
        StoredJob job = job(StepSpec.of(1, DEMAND, 60));
        mSimulation.mSaves = false;
        addStoredJob(job, 0);
        mSimulation.run(63);
        StoredJob saved = savedJob(job);
        mSimulation.mServers.values().forEach(server -> server.mFails = false);
        mSimulation.mScheduler.storedJobs().abandonAll(mSimulation.nowNanos());
        mSimulation.flush();
        mSimulation.run(100);
        mSimulation.mSaves = true;
        addStoredJob(saved, 64);
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(6000);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(savedJob(job).failedAttempts().values().iterator().next(), hasSize(1));
    }

    /** Guards against a failure that is taken for a counted one, as its number was used before. */
    @Test
    void testAttemptsBeginAboveThoseThatHaveFailed() {
        addServers(1, 60);
        StoredJob job = job(StepSpec.of(2, DEMAND, 60));
        TaskId failed = TaskId.of(job.spec().id(), 0, 0);
        int attempt = StoredAttempts.number(1000);
        StoredJob saved =
                new StoredJob(
                        job.spec(),
                        StoredJob.State.OPEN,
                        List.of(),
                        Map.of(failed, Set.of(attempt)));
        addStoredJob(saved, 64);
        mSimulation.run(4000);
        assertThat(mSimulation.mLastAttempts.get(failed), is(attempt + 1));
        assertThat(
                mSimulation.mLastAttempts.get(TaskId.of(job.spec().id(), 0, 1)),
                is(StoredAttempts.number(65)));
    }

    /** Guards against a start after the last permitted failure, found late on a silent server. */
    @Test
    void testFailureThatIsReportedAfterTheTaskWasPlacedElsewhereCounts() {
        addServers(2, 60);
        mSimulation.mServers.values().forEach(server -> server.mFails = true);
        StoredJob job = job(StepSpec.of(1, DEMAND, 3000));
        addStoredJob(job, 0);
        mSimulation.run(20);
        var silent =
                mSimulation.mServers.values().stream()
                        .filter(server -> !server.mRunning.isEmpty())
                        .findFirst()
                        .get();
        silent.mUnresponsive = true;
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 3000);
        for (int millis = 0; millis < 5000 && mSimulation.mStarts < 2; millis++) {
            mSimulation.run(1);
        }
        silent.mUnresponsive = false;
        mSimulation.run(5000);
        assertThat(savedJob(job).state(), is(StoredJob.State.FAILED));
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testCancelledJobIsStoppedAndNothingMoreIsStarted() {
        addServers(2, 900);
        StoredJob job =
                job(
                        StepSpec.of(2, DEMAND, 900),
                        new StepSpec(2, DEMAND, 60, List.of(0), "", "", 0));
        addStoredJob(job, 0);
        mSimulation.run(50);
        mSimulation.mScheduler.storedJobs().cancel(job.spec().id(), mSimulation.nowNanos());
        mSimulation.flush();
        mSimulation.run(200);
        assertThat(savedJob(job).state(), is(StoredJob.State.CANCELLED));
        mSimulation.mServers.values().forEach(s -> assertThat(s.mRunning.keySet(), is(empty())));
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testLateStoredJobIsNeverAbandoned() {
        addServers(1, 400);
        StoredJob first = job(StepSpec.of(8, DEMAND, 60));
        addStoredJob(first, 0);
        mSimulation.run(4000);
        assertThat(savedJob(first).state(), is(StoredJob.State.COMPLETE));
        assertThat(mSimulation.mStarts, greaterThan(7));
    }

    @Test
    void testDoneTasksAreNotRunAgain() {
        addServers(2, 60);
        StoredJob job = job(StepSpec.of(3, DEMAND, 60));
        JobId id = job.spec().id();
        StoredJob partlyDone =
                new StoredJob(
                        job.spec(),
                        StoredJob.State.OPEN,
                        List.of(TaskId.of(id, 0, 0), TaskId.of(id, 0, 2)),
                        job.failedAttempts());
        addStoredJob(partlyDone, 64);
        mSimulation.run(4000);
        assertThat(mSimulation.mStarts, is(1));
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
    }
}
