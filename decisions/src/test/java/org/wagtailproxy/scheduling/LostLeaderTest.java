package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasValue;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Tests that jobs of a leader that was lost without a hand-over are not run twice at once. */
class LostLeaderTest {

    private static final DataCentreScope POOL = DataCentreScope.of(Set.of(DataCentre.of("a")));
    private static final DataCentreScope OTHER_POOL =
            DataCentreScope.of(Set.of(DataCentre.of("b")));
    private static final ResourceAmount DEMAND = ResourceAmount.of(14_000, 64, 0);

    private final ServerSimulation mSimulation = new ServerSimulation();

    @Test
    void testJobOfSilentLeaderIsNotRunTwiceWhenThatLeaderRegainsPolledServer() {
        var servers = addServers();
        mSimulation.mOtherLeaderPossible = true;
        JobId job = new JobId("00000000000000aa");
        long now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec(job),
                WorkProgress.NONE.plusAttempts(64),
                now,
                now + 9000 * ServerSimulation.NANOS_PER_MILLI,
                now);
        mSimulation.run(60);
        var regained = servers.stream().filter(each -> each.mRunning.isEmpty()).findFirst().get();
        long token = mSimulation.mTokens.highest() + 50 * FencingTokenSource.STEP;
        regained.addRunOfEarlierLeader(token, job, 1);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobSentAgainIsNotRunTwiceWhileSilentLeaderMayRunIt() {
        var servers = addServers();
        mSimulation.mOtherLeaderPossible = true;
        servers.get(0).mListed = false;
        mSimulation.list();
        JobId job = new JobId("00000000000000aa");
        servers.get(0).addRunOfEarlierLeader(servers.get(0).mToken, job, 1);
        long now = mSimulation.nowNanos();
        long deadline = now + 9000 * ServerSimulation.NANOS_PER_MILLI;
        WorkProgress lost = WorkProgress.NONE.plusAttempts(64);
        mSimulation.mScheduler.submit(spec(job), lost, now, deadline, now);
        mSimulation.run(50);
        mSimulation.mScheduler.withdraw(job, mSimulation.nowNanos());
        mSimulation.run(50);
        long againNanos = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec(job), WorkProgress.NONE, againNanos, deadline, againNanos);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobSentAgainIsNotRunTwiceOnServerThatWasListedBeforeItWasFirstSent() {
        var servers = addServers();
        servers.get(0).mListed = false;
        mSimulation.list();
        mSimulation.run(6500);
        mSimulation.mOtherLeaderPossible = true;
        JobId job = submitLostJob();
        mSimulation.run(50);
        mSimulation.mScheduler.withdraw(job, mSimulation.nowNanos());
        mSimulation.run(1150);
        // The earlier leader still lists the server.
        servers.get(0).addRunOfEarlierLeader(servers.get(0).mToken, job, 1);
        mSimulation.run(100);
        long againNanos = mSimulation.nowNanos();
        long deadline = againNanos + 9000 * ServerSimulation.NANOS_PER_MILLI;
        mSimulation.mScheduler.submit(
                spec(job), WorkProgress.NONE, againNanos, deadline, againNanos);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfDeadLeaderIsNotRunTwiceWhileServerThatWasAddedRunsIt() {
        var servers = addServers();
        servers.get(0).mListed = false;
        mSimulation.list();
        mSimulation.run(8000);
        mSimulation.mListOutdated = true;
        JobId job = submitJobOfEarlierLeader(servers.get(0));
        mSimulation.run(200);
        servers.get(0).mListed = true;
        mSimulation.list();
        mSimulation.mListOutdated = false;
        mSimulation.run(1000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(mSimulation.mStarts, is(0));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfDeadLeaderIsNotRunTwiceWhileServerThatWasRemovedRunsIt() {
        var servers = addServers();
        mSimulation.run(5000);
        servers.get(0).mListed = false;
        mSimulation.list();
        mSimulation.run(100);
        JobId job = submitJobOfEarlierLeader(servers.get(0));
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfLeaderWithOutdatedListIsNotRunTwiceWhileServerRemovedLongAgoRunsIt() {
        var servers = addServers();
        servers.get(0).mListed = false;
        mSimulation.list();
        mSimulation.run(8000);
        mSimulation.mOtherLeaderPossible = true;
        submitLost(WorkProgress.NONE.plusAttempts(64, DataCentreScope.ALL.withUnlisted(true)));
        mSimulation.run(DuplicateRunGuard.STEP_DOWN_MARGIN_MILLIS - 5);
        JobId job = new JobId("00000000000000aa");
        regain(servers.get(0), job);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobStartedByTwoLeadersAtOnceIsNotRunTwiceWhenItReturnsWithFewerAttempts() {
        var servers = addServers();
        servers.forEach(server -> server.mWorkMillis = 1000);
        long now = mSimulation.nowNanos();
        long deadline = now + 9000 * ServerSimulation.NANOS_PER_MILLI;
        for (int number = 1; number <= 3; number++) {
            WorkSpec other = spec(new JobId(String.format("%016x", number)), 1000);
            mSimulation.mScheduler.submit(other, WorkProgress.NONE, now, deadline, now);
        }
        JobId job = new JobId("00000000000000aa");
        WorkSpec spec = spec(job, 1000);
        WorkProgress notRunning = WorkProgress.of(List.of(), 3).runningOnlyOn(List.of());
        mSimulation.mScheduler.submit(spec, notRunning, now, deadline, now);
        mSimulation.run(50);
        // Another leader has started the job too, with fewer attempts.
        long token = mSimulation.mTokens.highest() + 50 * FencingTokenSource.STEP;
        servers.get(0).addRunOfEarlierLeader(token, job, 1);
        servers.get(0).mClaim = ClaimMode.IF_UNUSED;
        mSimulation.list();
        now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec,
                WorkProgress.of(List.of(), 1).runningOnlyOn(List.of(servers.get(0).mId)),
                now,
                deadline,
                now);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testTaskWhoseRunIsInterruptedIsNotRunTwiceWhileAnotherLeadersRunOfItGoesOn() {
        var servers = addServers();
        JobId job = new JobId("00000000000000aa");
        long now = mSimulation.nowNanos();
        long deadline = now + 9000 * ServerSimulation.NANOS_PER_MILLI;
        mSimulation.mScheduler.submit(spec(job), WorkProgress.NONE, now, deadline, now);
        mSimulation.run(50);
        var started = servers.stream().filter(each -> !each.mRunning.isEmpty()).toList();
        var other = servers.stream().filter(each -> each.mRunning.isEmpty()).findFirst().get();
        started.forEach(each -> each.mRunning.clear());
        started.forEach(each -> each.mUnresponsive = true);
        other.addRunOfEarlierLeader(other.mToken, job, 3);
        now = mSimulation.nowNanos();
        WorkProgress progress =
                WorkProgress.of(List.of(), 3)
                        .runningOnlyOn(servers.stream().map(each -> each.mId).toList());
        mSimulation.mScheduler.submit(spec(job), progress, now, deadline, now);
        mSimulation.run(30);
        started.forEach(each -> each.mUnresponsive = false);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfLeaderThatStepsDownAfterRegainingPolledServerIsNotRunTwice() {
        var servers = addServers();
        mSimulation.mOtherLeaderPossible = true;
        JobId job = new JobId("00000000000000aa");
        long now = mSimulation.nowNanos();
        long deadline = now + 9000 * ServerSimulation.NANOS_PER_MILLI;
        WorkProgress lost = WorkProgress.NONE.plusAttempts(64);
        mSimulation.mScheduler.submit(spec(job), lost, now, deadline, now);
        mSimulation.run(60);
        long token = mSimulation.mTokens.highest() + 50 * FencingTokenSource.STEP;
        servers.get(2).addRunOfEarlierLeader(token, job, 1);
        mSimulation.mOtherLeaderPossible = false;
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfDeadLeaderIsNotRunTwiceWhileServerThatWasNeverListedRunsIt() {
        addServers();
        mSimulation.mTrackedSinceNanos = mSimulation.nowNanos();
        var unlisted = mSimulation.addUnlisted("unlisted", 1, 32_000);
        unlisted.mWorkMillis = 600;
        mSimulation.run(5000);
        JobId job = submitJobOfEarlierLeader(unlisted);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfDeadLeaderDoesNotWaitOnceNoServerWasMissedForLongEnough() {
        var servers = addServers();
        mSimulation.mTrackedSinceNanos = mSimulation.nowNanos();
        mSimulation.run(8000);
        submitLostJob();
        mSimulation.run(100);
        assertThat(servers.stream().anyMatch(each -> !each.mRunning.isEmpty()), is(true));
    }

    @Test
    void testJobOfDeadLeaderIsNotRunTwiceBeforeDirectoryIsKnownToBeTracked() {
        addServers();
        mSimulation.mTrackedSinceNanos = ScheduledJob.NEVER_NANOS;
        var unlisted = mSimulation.addUnlisted("unlisted", 1, 32_000);
        unlisted.mWorkMillis = 600;
        mSimulation.run(20_000);
        JobId job = submitJobOfEarlierLeader(unlisted);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfLeaderOutsideThePoolIsNotStartedOnTheStrengthOfPolls() {
        mSimulation.mScheduler.inheritedJobs().updateScope(POOL);
        addServers();
        submitLost(WorkProgress.NONE.plusAttempts(64, OTHER_POOL).plusAttempts(64, POOL));
        mSimulation.run(2000);
        assertThat(mSimulation.mStarts, is(0));
        mSimulation.run(1000);
        assertThat(mSimulation.mStarts, is(2));
        assertThat(mSimulation.mEvidence, hasValue(InheritedJobEvidence.LEASES_EXPIRED));
    }

    @Test
    void testJobOfLeaderOfThePoolIsStartedOnTheStrengthOfPolls() {
        mSimulation.mScheduler.inheritedJobs().updateScope(POOL);
        addServers();
        submitLost(WorkProgress.NONE.plusAttempts(64, POOL));
        mSimulation.run(300);
        assertThat(mSimulation.mStarts, is(2));
        assertThat(mSimulation.mEvidence, hasValue(InheritedJobEvidence.ALL_SERVERS_POLLED));
    }

    @Test
    void testTaskThatEndsBeforeItsRunIsAdoptedIsNotRunAgain() {
        var server = addServers().get(0);
        mSimulation.mOtherLeaderPossible = true;
        server.mWorkMillis = 1;
        JobId job = submitJobOfEarlierLeader(server);
        mSimulation.run(100);
        assertThat(mSimulation.mStarts, is(0));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    private void submitLost(WorkProgress progress) {
        long now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec(new JobId("00000000000000aa")),
                progress,
                now,
                now + 9000 * ServerSimulation.NANOS_PER_MILLI,
                now);
    }

    @Test
    void testJobOfLeaderWhoseAddressRefusesIsNotRunTwiceWhenThatLeaderRegainsPolledServer() {
        var servers = addServers();
        addPeerThatLeads();
        JobId job = submitLostJob();
        mSimulation.run(1);
        mSimulation
                .mPeers
                .dueProbes(true, Option.none(), mSimulation.nowNanos())
                .forEach(mSimulation.mPeers::onConnectionRefused);
        mSimulation.run(60);
        regain(servers.get(2), job);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfLeaderWhoseRegistrationHasRunOutIsNotRunTwiceWhenItRegainsPolledServer() {
        var servers = addServers();
        addPeerThatLeads();
        mSimulation.mPeers.dueProbes(true, Option.none(), mSimulation.nowNanos());
        JobId job = submitLostJob();
        mSimulation.mPeers.updateRegistered(List.of(), any -> true, false);
        assertThat(mSimulation.mPeers.peers(), is(empty()));
        mSimulation.run(60);
        regain(servers.get(2), job);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    @Test
    void testJobOfSilentLeaderIsPlacedOnceThatLeaderMustHaveSteppedDown() {
        addServers();
        mSimulation.mOtherLeaderPossible = true;
        submitLostJob();
        mSimulation.run(DuplicateRunGuard.STEP_DOWN_MARGIN_MILLIS);
        assertThat(mSimulation.mStarts, is(0));
        mSimulation.run(60);
        assertThat(mSimulation.mStarts, is(2));
    }

    @Test
    void testJobThatSilentLeaderStartsJustBeforeItMustHaveSteppedDownIsNotRunTwice() {
        var servers = addServers();
        mSimulation.mOtherLeaderPossible = true;
        JobId job = submitLostJob();
        mSimulation.run(DuplicateRunGuard.STEP_DOWN_MARGIN_MILLIS - 5);
        regain(servers.get(2), job);
        mSimulation.run(5000);
        assertThat(mSimulation.mViolations, is(empty()));
        assertThat(outcome(job), is(Option.some(WorkOutcome.Kind.COMPLETE)));
    }

    private void addPeerThatLeads() {
        DataCentre dataCentre = DataCentre.of("pwani-a");
        HostAddress address = HostAddress.of("10.0.0.2", 7000);
        InstanceName name = InstanceName.of("n2");
        mSimulation.mPeers.updateRegistered(
                List.of(new InstanceRecord(name, dataCentre, address, 1000, 1)),
                any -> true,
                false);
    }

    /** Simulates that an earlier leader claims a server again and starts a job there. */
    private void regain(ServerSimulation.SimulatedServer server, JobId job) {
        long token = mSimulation.mTokens.highest() + 50 * FencingTokenSource.STEP;
        server.addRunOfEarlierLeader(token, job, 1);
    }

    /** Submits a job of two tasks that an earlier leader lost and may start. */
    private JobId submitLostJob() {
        JobId job = new JobId("00000000000000aa");
        long now = mSimulation.nowNanos();
        long deadline = now + 9000 * ServerSimulation.NANOS_PER_MILLI;
        WorkProgress lost = WorkProgress.NONE.plusAttempts(64);
        mSimulation.mScheduler.submit(spec(job), lost, now, deadline, now);
        return job;
    }

    /** Submits a job of two tasks that an earlier leader lost while they run on a server. */
    private JobId submitJobOfEarlierLeader(ServerSimulation.SimulatedServer server) {
        JobId job = new JobId("00000000000000aa");
        server.addRunOfEarlierLeader(server.mToken, job, 1);
        long now = mSimulation.nowNanos();
        mSimulation.mScheduler.submit(
                spec(job),
                WorkProgress.NONE.plusAttempts(64),
                now,
                now + 9000 * ServerSimulation.NANOS_PER_MILLI,
                now);
        return job;
    }

    private List<ServerSimulation.SimulatedServer> addServers() {
        for (int number = 0; number < 3; number++) {
            mSimulation.add("s" + number, 1, 32_000).mWorkMillis = 600;
        }
        mSimulation.run(100);
        return List.copyOf(mSimulation.mServers.values());
    }

    private Option<WorkOutcome.Kind> outcome(JobId job) {
        return mSimulation.outcome(job);
    }

    private static WorkSpec spec(JobId job) {
        return spec(job, 600);
    }

    private static WorkSpec spec(JobId job, int workMillis) {
        return WorkSpec.of(
                job,
                ServerSimulation.SERVICE,
                "text",
                List.of(StepSpec.of(2, DEMAND, workMillis)),
                QueueTerms.of(2, 1.6, 60, 3));
    }
}
