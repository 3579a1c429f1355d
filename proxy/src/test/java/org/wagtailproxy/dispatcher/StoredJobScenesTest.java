package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailproxy.workload.JobCondition;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Plays sequences of faults after which two instances may run the stored jobs, each of them by what
 * it has known last.
 */
class StoredJobScenesTest extends FleetScenes {

    /** Five instances and six servers; a leader of the first data centre is not alone there. */
    private static final FleetSimulation.Size THREE_DATA_CENTRES =
            new FleetSimulation.Size(List.of("pwani-a", "pwani-b", "pwani-c"), 1, 2, 2);

    private static final String CUT_OFF = "pwani-a";
    private static final long PARTITION_MILLIS = 6200;
    private static final long GRACE_MILLIS = 6000;

    private int mJobs;

    /** Begins with a fleet whose leader is in the data centre that is cut off later. */
    private void beginWithLeaderInCutOffDataCentre(int seed) {
        int drawn = 100 * seed;
        do {
            begin(THREE_DATA_CENTRES, drawn++);
            assertNoDoubleRun();
        } while (mFleet.upInstances().stream()
                .noneMatch(each -> each.isLeader() && isIn(each.mHost, CUT_OFF)));
    }

    private static boolean isIn(SimulatedNetwork.Host host, String dataCentre) {
        return host.dataCentre().equals(dataCentre);
    }

    private void submitStoredJob(int tasks, long estimateMillis) {
        String id = String.format("%016x", 0xc000 + mJobs++);
        submit(storedJob(id, tasks, estimateMillis), mFleet.mTime.oneOf(mFleet.upInstances()));
    }

    /** Submits jobs of a data centre whose callers wait. */
    private void submitWaitingJob(String dataCentre) {
        List<SimulatedInstance> homes =
                mFleet.upInstances().stream().filter(each -> isIn(each.mHost, dataCentre)).toList();
        String id = String.format("%016x", 0xd000 + mJobs++);
        submit(job(id, 3, 700), mFleet.mTime.oneOf(homes));
    }

    private void repeat(long intervalMillis, long untilMillis, Runnable work) {
        if (mFleet.mTime.nowMillis() < untilMillis) {
            work.run();
            mFleet.mTime.after(intervalMillis, () -> repeat(intervalMillis, untilMillis, work));
        }
    }

    /** Cuts a data centre off from the others and from the store. */
    private void cutOff(String dataCentre) {
        cut((from, to) -> isIn(from, dataCentre) != isIn(to, dataCentre), PARTITION_MILLIS);
    }

    /**
     * Cuts the data centre of the leader off once two of the other instances have stopped, which
     * start again on the other side.
     */
    private void cutOffAfterStopsInTurn() {
        SimulatedInstance first = follower("pwani-b");
        SimulatedInstance second = follower("pwani-c");
        stopAndAwaitEnd(first);
        stopAndAwaitEnd(second);
        runFor(350);
        cutOff(CUT_OFF);
        first.start();
        second.start();
    }

    private void stopAndAwaitEnd(SimulatedInstance instance) {
        instance.stop(GRACE_MILLIS, instance::kill);
        long endMillis = mFleet.mTime.nowMillis() + GRACE_MILLIS;
        for (long millis = mFleet.mTime.nowMillis(); millis < endMillis; millis += 10) {
            mFleet.mTime.run(millis);
            if (!instance.isUp()) {
                break;
            }
        }
        assertThat(instance.isUp(), is(false));
    }

    /**
     * Guards against a coordinator that goes on by the registrations that it read before a
     * partition, while the instances that had stopped then are a majority on the other side.
     */
    @Test
    void testCoordinatorBehindPartitionHasEndedBeforeTheNextOneStartsItsTasks() {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLeaderInCutOffDataCentre(seed);
            for (int job = 0; job < 3; job++) {
                submitStoredJob(2, 12_000);
            }
            runFor(200);
            cutOffAfterStopsInTurn();
            runFor(PARTITION_MILLIS + 6000);
            assertNoDoubleRun();
            assertThat(mFleet.mTime.trace(List.of("inherited-job-released")), is(not(empty())));
        }
    }

    /**
     * Guards against a leader that extends the lease of a server for its other jobs after it has
     * given up the stored ones. Their ends on that server would count after the partition, although
     * the next coordinator has started the tasks again.
     */
    @Test
    void testEndsBehindPartitionDoNotCountOnceTheirTasksWereStartedAgain() {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLeaderInCutOffDataCentre(seed);
            long endMillis = mFleet.mTime.nowMillis() + 2000 + PARTITION_MILLIS + 4000;
            repeat(120, endMillis, () -> submitStoredJob(4, 300));
            repeat(250, endMillis, () -> submitWaitingJob(CUT_OFF));
            runFor(2000);
            cutOff(CUT_OFF);
            runFor(PARTITION_MILLIS + 8000);
            assertNoDoubleRun();
            assertThat(mFleet.mTime.trace(List.of("inherited-job-released")), is(not(empty())));
        }
    }

    /** Guards against a cancellation that is confirmed for a job which runs on. */
    @Test
    void testFormerCoordinatorDoesNotReportAJobAsGoneThatTheNextOneHasAccepted() {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLeaderInCutOffDataCentre(seed);
            submitStoredJob(1, 12_000);
            runFor(1000);
            SimulatedInstance former = leader(CUT_OFF);
            cutOffAfterStopsInTurn();
            runFor(850);
            WorkSpec accepted = storedJob("000000000000e001", 1, 3000);
            submit(accepted, mFleet.mTime.oneOf(followers("pwani-b")));
            runFor(100);
            assertThat(mFleet.hasStarted(accepted.id()), is(true));
            List<JobCondition> conditions = new ArrayList<>();
            former.process()
                    .execute(
                            () -> {
                                Dispatcher dispatcher = former.dispatcher();
                                dispatcher.storedJobCondition(accepted.id(), conditions::add);
                                dispatcher.cancelAnywhere(accepted.id(), conditions::add);
                            });
            runFor(PARTITION_MILLIS);
            assertThat(conditions, contains(JobCondition.UNAVAILABLE, JobCondition.UNAVAILABLE));
        }
    }

    /** The same with other losses of the coordinator than a partition of its data centre. */
    @ParameterizedTest
    @EnumSource(Loss.class)
    void testNoDoneTaskIsStartedAgainAfterLossOfCoordinator(Loss loss) {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLeaderInCutOffDataCentre(seed);
            long endMillis = mFleet.mTime.nowMillis() + 12_000;
            repeat(120, endMillis, () -> submitStoredJob(4, 300));
            repeat(250, endMillis, () -> submitWaitingJob(CUT_OFF));
            runFor(2000);
            lose(leader(CUT_OFF), loss);
            runFor(14_000);
            assertNoDoubleRun();
        }
    }

    /**
     * Nobody can take over while the whole store is down, so runs of stored jobs are to go on
     * whichever instance notices the outage first.
     */
    @Test
    void testRunsOfStoredJobsGoOnWhileTheStoreIsDown() {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLeaderInCutOffDataCentre(seed);
            submitStoredJob(4, 14_000);
            runFor(1000);
            int started = mFleet.mStarts;
            mFleet.mStore.mDown = true;
            runFor(8000);
            mFleet.mStore.mDown = false;
            runFor(3000);
            assertThat(mFleet.mStarts, is(started + failedRuns()));
            assertNoDoubleRun();
        }
    }

    /** Guards against a loss of the store that lasts since nothing asks the store any more. */
    @Test
    void testLeaderStaysWhenTheStoreIsSilentForAMoment() {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLeaderInCutOffDataCentre(seed);
            submitStoredJob(4, 14_000);
            runFor(1000);
            SimulatedInstance leader = leader(CUT_OFF);
            mFleet.mStore.mDisruptions.reject(host -> true, true, 1600);
            runFor(8000);
            assertThat(leader.isLeader(), is(true));
        }
    }

    @Test
    void testAnotherInstanceLeadsOnceItHasConfirmedThatOnlyTheLeaderHasLostTheStore() {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLeaderInCutOffDataCentre(seed);
            submitStoredJob(4, 14_000);
            runFor(1000);
            SimulatedInstance former = leader(CUT_OFF);
            lose(former, Loss.WITHOUT_STORE);
            runFor(PARTITION_MILLIS - 100);
            assertThat(former.isLeader(), is(false));
            runFor(PARTITION_MILLIS);
            assertNoDoubleRun();
        }
    }

    /**
     * A coordinator without the store stops its runs after a while, and goes on once it is back.
     */
    @Test
    void testTasksOfStoredJobsAreStartedAgainAfterLongOutageOfTheStore() {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLeaderInCutOffDataCentre(seed);
            submitStoredJob(4, 30_000);
            runFor(1000);
            int started = mFleet.mStarts;
            mFleet.mStore.mDown = true;
            runFor(13_000);
            assertThat(mFleet.mStarts, is(started));
            mFleet.mStore.mDown = false;
            runFor(5000);
            assertThat(mFleet.mStarts, is(2 * started + failedRuns()));
            assertNoDoubleRun();
        }
    }

    /** Returns the number of runs that have failed by themselves, whose tasks start again. */
    private int failedRuns() {
        return (int)
                mFleet.mTime.trace(List.of(" ends ")).stream()
                        .filter(line -> line.endsWith("FAILED"))
                        .count();
    }

    /** How a coordinator is lost. */
    private enum Loss {
        KILLED,
        STOPPED,
        PAUSED,
        SUSPENDED,
        WITHOUT_STORE,
        WITHOUT_INSTANCES
    }

    private void lose(SimulatedInstance leader, Loss loss) {
        SimulatedNetwork.Host host = leader.mHost;
        switch (loss) {
            case KILLED -> leader.kill();
            case STOPPED -> leader.stop(GRACE_MILLIS, leader::kill);
            case PAUSED -> leader.process().pause(3000);
            case SUSPENDED -> leader.process().suspend(3000);
            case WITHOUT_STORE ->
                    cut(
                            (from, to) ->
                                    isLinked(from, to, host)
                                            && isLinked(from, to, SimulatedStore.HOST),
                            PARTITION_MILLIS);
            default ->
                    cut(
                            (from, to) ->
                                    isLinked(from, to, host) && isInstance(from) && isInstance(to),
                            PARTITION_MILLIS);
        }
    }
}
