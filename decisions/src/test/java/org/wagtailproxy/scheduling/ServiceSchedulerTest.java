package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

class ServiceSchedulerTest {

    private static final ResourceAmount DEMAND = ResourceAmount.of(14_000, 64, 0);

    private final ServerSimulation mSimulation = new ServerSimulation();
    private int mJobs;

    private JobId submit(int priority, int tasks, long estimateMillis) {
        return submit(priority, tasks, estimateMillis, 3000);
    }

    private JobId submit(int priority, int tasks, long estimateMillis, long callerTimeoutMillis) {
        JobId id = new JobId(String.format("%016x", ++mJobs));
        resubmit(id, priority, tasks, estimateMillis, callerTimeoutMillis);
        return id;
    }

    private void resubmit(
            JobId id, int priority, int tasks, long estimateMillis, long callerTimeoutMillis) {
        WorkSpec spec =
                WorkSpec.of(
                        id,
                        ServerSimulation.SERVICE,
                        "text",
                        List.of(StepSpec.of(tasks, DEMAND, estimateMillis)),
                        QueueTerms.of(priority, 1.6, 60, 3));
        long now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec,
                WorkProgress.NONE,
                now,
                now + callerTimeoutMillis * ServerSimulation.NANOS_PER_MILLI,
                now);
        mSimulation.mScheduler.refuseUnattainable(now);
        mSimulation.flush();
    }

    private static WorkSpec spec(JobId id, int tasks, long estimateMillis) {
        return WorkSpec.of(
                id,
                ServerSimulation.SERVICE,
                "text",
                List.of(StepSpec.of(tasks, DEMAND, estimateMillis)),
                QueueTerms.of(2, 1.6, 60, 3));
    }

    private Option<WorkOutcome.Kind> outcome(JobId id) {
        return mSimulation.outcome(id);
    }

    private void addServers(int servers) {
        for (int number = 0; number < servers; number++) {
            mSimulation.add("s" + number, 1, 32_000);
        }
        mSimulation.run(100);
    }

    @Test
    void testJobCompletesOnceAllTasksAreDone() {
        addServers(4);
        JobId job = submit(0, 8, 60);
        mSimulation.run(200);
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(mSimulation.mStarts, is(8));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testCapacityIsNeverExceeded() {
        addServers(3);
        for (int number = 0; number < 20; number++) {
            submit(1, 4, 60);
            mSimulation.run(15);
        }
        mSimulation.run(1000);
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testLostAnswerOfStartDoesNotStartTaskTwice() {
        addServers(2);
        mSimulation.mServers.values().forEach(server -> server.mLosesAnswer = true);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 900);
        JobId job = submit(2, 2, 900);
        mSimulation.run(1500);
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(mSimulation.mStarts, is(2));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testDelayedStartCommandNeverCausesConcurrentRuns() {
        addServers(2);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 900);
        mSimulation.mServers.values().iterator().next().mNextStartDelayMillis = 2500;
        for (int number = 0; number < 6; number++) {
            submit(2, 1, 900, 6000);
            mSimulation.run(600);
        }
        mSimulation.run(6000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mDone.values().stream().allMatch(times -> times == 1), is(true));
    }

    @Test
    void testTasksOfUnresponsiveServerAreRestartedOnlyAfterItsLease() {
        addServers(2);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.forEach(server -> server.mWorkMillis = 900);
        JobId job = submit(2, 4, 900, 6000);
        mSimulation.run(100);
        servers.get(0).mUnresponsive = true;
        mSimulation.run(3500);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mStarts, greaterThan(4));
        assertThat(outcome(job).isDefined(), is(true));
    }

    @Test
    void testRestartedServerIsClaimedAgainAndItsTasksAreRerun() {
        addServers(2);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.forEach(server -> server.mWorkMillis = 300);
        JobId job = submit(2, 4, 900, 6000);
        mSimulation.run(100);
        servers.get(0).restart();
        mSimulation.run(1500);
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testTaskStartedByRestartedServerBeforeItsRestartIsDetectedIsNotRunTwice() {
        addServers(2);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.forEach(server -> server.mWorkMillis = 900);
        servers.get(0).restart();
        JobId job = submit(2, 2, 900, 6000);
        mSimulation.run(10);
        assertThat(servers.get(0).mRunning.size(), is(2));
        mSimulation.run(2500);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mStarts, is(2));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testStoppedTaskWhoseStartIsStillUnderWayAfterTheLeaseIsNotRunTwice() {
        addServers(2);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.forEach(server -> server.mWorkMillis = 2500);
        servers.get(0).mNextStartDelayMillis = 2500;
        JobId job = submit(2, 1, 2500, 9000);
        mSimulation.run(10);
        mSimulation.mScheduler.withdraw(job, mSimulation.nowNanos());
        servers.get(0).mUnresponsive = true;
        mSimulation.run(1400);
        resubmit(job, 2, 1, 2500, 9000);
        mSimulation.run(50);
        servers.get(0).mUnresponsive = false;
        mSimulation.run(3000);
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testStartThatArrivesAfterServerWasDelistedAndListedAgainDoesNotRunTaskTwice() {
        addServers(2);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.forEach(server -> server.mWorkMillis = 2500);
        servers.get(0).mNextStartDelayMillis = 3000;
        submit(2, 1, 2500, 9000);
        mSimulation.run(150);
        servers.get(0).mUnresponsive = true;
        servers.get(0).mListed = false;
        mSimulation.list();
        mSimulation.run(1300);
        assertThat(servers.get(1).mRunning.size(), is(1));
        servers.get(0).mUnresponsive = false;
        servers.get(0).mListed = true;
        mSimulation.list();
        mSimulation.run(3000);
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testFailingServerIsEjectedAndJobsCompleteElsewhere() {
        addServers(6);
        mSimulation.mServers.values().iterator().next().mFails = true;
        List<JobId> jobs = new ArrayList<>();
        for (int number = 0; number < 30; number++) {
            jobs.add(submit(1, 2, 60));
            mSimulation.run(40);
        }
        mSimulation.run(1000);
        long complete =
                jobs.stream()
                        .filter(job -> outcome(job).contains(WorkOutcome.Kind.COMPLETE))
                        .count();
        assertThat(complete, is(30L));
    }

    @Test
    void testStalledTasksAreMoved() {
        addServers(4);
        mSimulation.mServers.values().iterator().next().mHangs = true;
        JobId job = submit(2, 6, 200, 3000);
        mSimulation.run(2500);
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testWithdrawnJobReleasesItsCapacityImmediately() {
        addServers(1);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 900);
        JobId first = submit(2, 2, 900);
        mSimulation.run(50);
        mSimulation.mScheduler.withdraw(first, mSimulation.nowNanos());
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 60);
        JobId second = submit(0, 2, 60);
        mSimulation.run(120);
        assertThat(outcome(second), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(outcome(first).isEmpty(), is(true));
    }

    @Test
    void testRefusedJobHasNeverStarted() {
        addServers(2);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 200);
        List<JobId> jobs = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            jobs.add(submit(1, 2, 200));
            mSimulation.run(10);
        }
        mSimulation.run(1500);
        int refused = 0;
        for (JobId job : jobs) {
            if (outcome(job).contains(WorkOutcome.Kind.REFUSED)) {
                refused++;
                boolean ran =
                        mSimulation.mDone.keySet().stream()
                                .anyMatch(task -> task.job().equals(job));
                assertThat(ran, is(false));
            }
        }
        assertThat(refused, greaterThan(0));
    }

    @Test
    void testNothingIsRefusedWhileCapacityIsFree() {
        addServers(8);
        for (int number = 0; number < 30; number++) {
            submit(number % 3, 2, 60);
            mSimulation.run(40);
        }
        mSimulation.run(500);
        boolean refused =
                mSimulation.mOutcomes.values().stream()
                        .anyMatch(outcome -> outcome.kind() == WorkOutcome.Kind.REFUSED);
        assertThat(refused, is(false));
    }

    @Test
    void testOverloadIsRefusedEarlyAndTheRestMeetsItsObjective() {
        addServers(4);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 200);
        long startMillis = mSimulation.nowMillis();
        List<JobId> jobs = new ArrayList<>();
        List<Long> sent = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            sent.add(mSimulation.nowMillis());
            jobs.add(submit(1, 2, 200));
            mSimulation.run(25);
        }
        mSimulation.run(1500);
        int onTime = 0;
        long latestRefusal = 0;
        for (int number = 0; number < jobs.size(); number++) {
            long took = mSimulation.mEndedMillis.get(jobs.get(number)) - sent.get(number);
            if (outcome(jobs.get(number)).contains(WorkOutcome.Kind.REFUSED)) {
                latestRefusal = Math.max(latestRefusal, took);
            } else if (took <= 380) {
                onTime++;
            }
        }
        // Eight tasks of 200 ms at a time are 20 jobs a second: 30 in the 1,500 ms of the burst.
        assertThat(onTime, greaterThanOrEqualTo(25));
        assertThat(latestRefusal, lessThanOrEqualTo(190L));
        assertThat(startMillis, lessThan(mSimulation.nowMillis()));
    }

    @Test
    void testUrgentJobsGoBeforeLessUrgentOnes() {
        addServers(1);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 60);
        submit(1, 2, 60);
        JobId lessUrgent = submit(2, 2, 300);
        JobId moreUrgent = submit(0, 2, 60);
        mSimulation.run(400);
        assertThat(outcome(moreUrgent), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(outcome(lessUrgent), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(
                mSimulation.mEndedMillis.get(moreUrgent),
                lessThan(mSimulation.mEndedMillis.get(lessUrgent)));
    }

    @Test
    void testRunsOfEarlierLeaderAreAdoptedWhenTheirJobIsHandedOver() {
        addServers(2);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 600);
        JobId job = submit(2, 4, 600);
        mSimulation.run(100);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(20);
        resubmit(job, 2, 4, 600, 3000);
        mSimulation.run(700);
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(mSimulation.mStarts, is(4));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testInheritedTaskIsNotStartedWhileItMayRunOnUnpolledServer() {
        addServers(3);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 600);
        JobId job = submit(2, 4, 600);
        mSimulation.run(100);
        mSimulation.mScheduler.stepDown();
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.get(0).mClaim = ClaimMode.IF_UNUSED;
        servers.get(1).mClaim = ClaimMode.IF_UNUSED;
        mSimulation.list();
        mSimulation.run(20);
        WorkProgress progress = WorkProgress.of(List.of(), 1);
        WorkSpec spec = spec(job, 4, 600);
        long now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec, progress, now, now + 5000 * ServerSimulation.NANOS_PER_MILLI, now);
        mSimulation.run(4000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobThatWasHandedOverWaitsOnlyForTheServersThatItRunsOn() {
        addServers(3);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.forEach(server -> server.mWorkMillis = 300);
        JobId job = submit(2, 2, 300);
        mSimulation.run(50);
        WorkProgress progress = mSimulation.mScheduler.stepDown().get(job);
        var idle = servers.stream().filter(server -> server.mRunning.isEmpty()).toList();
        idle.get(0).mUnresponsive = true;
        mSimulation.list();
        long now = mSimulation.nowNanos();
        mSimulation
                .mScheduler
                .inheritedJobs()
                .assumeIncompleteServerList(now + 3000 * ServerSimulation.NANOS_PER_MILLI);
        mSimulation.mScheduler.submit(
                spec(job, 3, 300),
                progress,
                now,
                now + 3000 * ServerSimulation.NANOS_PER_MILLI,
                now);
        mSimulation.run(500);
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(mSimulation.mStarts, is(3));
        assertThat(mSimulation.mViolations, is(empty()));
    }

    @Test
    void testNothingIsRefusedWhileServersAreStillBeingClaimed() {
        addServers(4);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 200);
        JobId first = submit(1, 6, 200);
        mSimulation.run(30);
        WorkProgress progress = mSimulation.mScheduler.stepDown().get(first);
        mSimulation.list();
        mSimulation.run(40);
        // Three servers run tasks of a job that has not been handed over yet.
        submit(1, 2, 200);
        JobId next = submit(1, 6, 200);
        mSimulation.run(40);
        assertThat(outcome(next).isEmpty(), is(true));
        long now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec(first, 6, 200),
                progress,
                now,
                now + 3000 * ServerSimulation.NANOS_PER_MILLI,
                now);
        mSimulation.run(500);
        assertThat(outcome(first), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(outcome(next), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testNothingIsPlacedAfterProcessPauseBeforeNextTick() {
        addServers(2);
        mSimulation.mTicksPaused = true;
        mSimulation.run(400);
        submit(0, 2, 60);
        mSimulation.run(50);
        assertThat(mSimulation.mStarts, is(0));
        mSimulation.mTicksPaused = false;
        mSimulation.run(30);
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testNothingIsPlacedAfterSuspensionBeforeNextTick() {
        addServers(2);
        mSimulation.run(10);
        mSimulation.mTicksPaused = true;
        // The monotonic clock has not advanced, so only the call indicates the pause.
        mSimulation.mScheduler.suspendPlacement();
        submit(0, 2, 60);
        mSimulation.run(50);
        assertThat(mSimulation.mStarts, is(0));
        mSimulation.mTicksPaused = false;
        mSimulation.run(30);
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testJobFromHealedPartitionIsNotRunTwiceWhileUnlistedServerRunsIt() {
        addServers(3);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.forEach(server -> server.mWorkMillis = 600);
        // A server is missing in the directory, and the leader on the other side of the partition
        // runs a job there.
        servers.get(0).mListed = false;
        mSimulation.list();
        mSimulation.run(1200);
        JobId job = new JobId("00000000000000aa");
        servers.get(0).addRunOfEarlierLeader(servers.get(0).mToken, job, 1);
        WorkSpec spec = spec(job, 2, 600);
        long now = mSimulation.nowNanos();
        mSimulation
                .mScheduler
                .inheritedJobs()
                .assumeIncompleteServerList(now + 3000 * ServerSimulation.NANOS_PER_MILLI);
        mSimulation.mScheduler.submit(
                spec,
                WorkProgress.of(List.of(), 64),
                now,
                now + 9000 * ServerSimulation.NANOS_PER_MILLI,
                now);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testAdoptedRunsDoNotLowerMeasuredSlowdown() {
        addServers(2);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 600);
        JobId job = submit(2, 4, 600);
        mSimulation.run(500);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        resubmit(job, 2, 4, 600, 3000);
        mSimulation.run(300);
        JobId next = submit(2, 4, 600);
        mSimulation.run(700);
        assertThat(outcome(next), is(Option.some(WorkOutcome.Kind.COMPLETE)));
        assertThat(mSimulation.mStarts, is(8));
    }

    @Test
    void testJobReturnedByAnotherLeaderIsNotRunTwice() {
        addServers(3);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.forEach(server -> server.mWorkMillis = 600);
        for (int number = 0; number < 3; number++) {
            submit(2, 2, 600);
        }
        JobId job = submit(2, 2, 600, 9000);
        mSimulation.run(50);
        // Another leader claims a server and starts the job's tasks there.
        long token = mSimulation.mTokens.highest() + 50 * FencingTokenSource.STEP;
        servers.get(0).addRunOfEarlierLeader(token, job, 65);
        WorkSpec spec = spec(job, 2, 600);
        long now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec,
                WorkProgress.of(List.of(), 129),
                now,
                now + 9000 * ServerSimulation.NANOS_PER_MILLI,
                now);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testOrphanedRunsOfEarlierLeaderAreStopped() {
        addServers(1);
        var server = mSimulation.mServers.values().iterator().next();
        server.mWorkMillis = 5000;
        submit(2, 2, 900);
        mSimulation.run(100);
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(500);
        assertThat(server.mRunning.keySet(), is(empty()));
    }

    @Test
    void testServerClaimedByAnotherInstanceIsNotClaimed() {
        addServers(1);
        var server = mSimulation.mServers.values().iterator().next();
        server.mClaim = ClaimMode.IF_UNUSED;
        mSimulation.list();
        server.mToken = 100_000_000;
        // An idle poll waits for 1,500 ms before it is answered.
        mSimulation.run(2500);
        assertThat(mSimulation.mScheduler.state(mSimulation.nowNanos()).heldServers(), equalTo(0));
        assertThat(server.mToken, is(100_000_000L));
    }

    @Test
    void testServerIsClaimedImmediatelyWhenModeBecomesFirstDuringPeek() {
        addServers(2);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 900);
        submit(2, 4, 900);
        mSimulation.run(50);
        mSimulation.mScheduler.stepDown();
        mSimulation.mServers.values().forEach(server -> server.mClaim = ClaimMode.IF_UNUSED);
        mSimulation.list();
        mSimulation.mScheduler.tick(mSimulation.nowNanos());
        mSimulation.flush();
        // The preferred owners of the servers report that they follow this leader before the peek
        // is answered.
        mSimulation.mServers.values().forEach(server -> server.mClaim = ClaimMode.FIRST);
        mSimulation.list();
        mSimulation.run(25);
        assertThat(mSimulation.mScheduler.state(mSimulation.nowNanos()).heldServers(), is(2));
    }

    @Test
    void testServerWithUnknownHighTokenIsClaimedByItsFirstClaimant() {
        var server = mSimulation.add("s0", 1, 32_000);
        server.mToken = 50_000_000;
        mSimulation.run(2000);
        assertThat(mSimulation.mScheduler.state(mSimulation.nowNanos()).heldServers(), equalTo(1));
    }

    @Test
    void testDrainingServerGetsNothingNew() {
        addServers(2);
        var servers = List.copyOf(mSimulation.mServers.values());
        servers.get(0).mDraining = true;
        mSimulation.list();
        submit(0, 4, 60);
        mSimulation.run(5);
        assertThat(servers.get(0).mRunning.keySet(), is(empty()));
    }

    @Test
    void testResubmittedJobJoinsRunningJob() {
        addServers(2);
        mSimulation.mServers.values().forEach(server -> server.mWorkMillis = 300);
        JobId job = submit(2, 4, 300);
        mSimulation.run(100);
        resubmit(job, 2, 4, 300, 3000);
        mSimulation.run(400);
        assertThat(mSimulation.mStarts, is(4));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }
}
