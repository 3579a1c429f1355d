package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Tests what a coordinator of stored jobs does that may have been replaced. */
class StoredJobAuthorityTest extends StoredJobFixture {

    private void submitWaitingJob() {
        WorkSpec spec =
                WorkSpec.of(
                        new JobId(String.format("%016x", ++mJobs)),
                        ServerSimulation.SERVICE,
                        "text",
                        List.of(StepSpec.of(1, DEMAND, 60)),
                        QueueTerms.of(0, 100, 60, 2));
        long nowNanos = mSimulation.nowNanos();
        long deadlineNanos = nowNanos + 60_000 * ServerSimulation.NANOS_PER_MILLI;
        mSimulation.mScheduler.submit(spec, WorkProgress.NONE, nowNanos, deadlineNanos, nowNanos);
        mSimulation.flush();
    }

    /** Runs until a server has no lease, and returns false if it has one all the time. */
    private boolean awaitLeaseExpiry(ServerSimulation.SimulatedServer server) {
        for (int millis = 0; millis < 1100; millis++) {
            mSimulation.run(1);
            if (!server.hasLease()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Guards against ends that count although another coordinator has started their tasks again
     * after it had waited for the lease.
     */
    @Test
    void testLeaseOfServerWithUnsavedEndExpiresOnceAfterAuthorityHasLapsed() {
        addServers(1, 60);
        mSimulation.mSaves = false;
        addStoredJob(job(StepSpec.of(1, DEMAND, 60)), 0);
        mSimulation.run(100);
        assertThat(onlyServer().listedEnds(), is(1));
        onlyServer().mWorkMillis = 5000;
        submitWaitingJob();
        mSimulation.run(100);
        assertThat(runningTasks(), is(1));
        mSimulation.mMayRunStoredJobs = false;
        assertThat(awaitLeaseExpiry(onlyServer()), is(true));
        mSimulation.run(200);
        assertThat(onlyServer().hasLease(), is(true));
        assertThat(awaitLeaseExpiry(onlyServer()), is(false));
    }

    /** Guards against runs that an instance keeps alive which may have been replaced. */
    @Test
    void testNothingIsStartedNorExtendedWithoutAuthority() {
        addServers(2, 60_000);
        addStoredJob(longRunningJob(StepSpec.of(3, DEMAND, 100)), 0);
        mSimulation.run(500);
        assertThat(runningTasks(), is(3));
        mSimulation.mMayRunStoredJobs = false;
        mSimulation.run(1000);
        assertThat(runningTasks(), is(0));
        assertThat(mSimulation.mStarts, is(3));
        mSimulation.mMayRunStoredJobs = true;
        mSimulation.run(100);
        assertThat(runningTasks(), is(3));
    }

    /** Guards against a former coordinator that acknowledges ends of jobs accepted after it. */
    @Test
    void testEndOfUnknownJobIsAcknowledgedOnlyIfJobsAreKnownSinceItIsListed() {
        addServers(1, 60);
        JobId accepted = new JobId("00000000000000f1");
        onlyServer().addRunOfEarlierLeader(0, accepted, StoredAttempts.number(1));
        mSimulation.run(500);
        assertThat(listedEnds(), is(2));
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(100);
        assertThat(listedEnds(), is(0));
    }

    /** Guards against a former coordinator that starts a task whose end it does not find. */
    @Test
    void testNoEndIsAcknowledgedWhileFormerCoordinatorMayLookForIt() {
        addServers(1, 60);
        mSimulation.mMayAcknowledgeStoredEnds = false;
        StoredJob job = job(StepSpec.of(2, DEMAND, 60));
        addStoredJob(job, 0);
        mSimulation.run(500);
        assertThat(savedJob(job).state(), is(StoredJob.State.COMPLETE));
        assertThat(listedEnds(), is(2));
        mSimulation.mMayAcknowledgeStoredEnds = true;
        mSimulation.run(100);
        assertThat(listedEnds(), is(0));
    }
}
