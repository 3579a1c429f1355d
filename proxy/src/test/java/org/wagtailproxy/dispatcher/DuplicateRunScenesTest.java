package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Plays one sequence of faults for each check that guards against a double run, without drawn
 * faults, so that the test fails if the check is taken out.
 */
class DuplicateRunScenesTest extends FleetScenes {

    @Test
    void testSuspendedLeaderDoesNotGoOnWithJobOfHomeThatWasKilledMeanwhile() {
        for (long millis = 900; millis <= 1200; millis += 100) {
            begin(FleetSimulation.DIVIDED, 1);
            SimulatedInstance leader = leader("pwani-a");
            SimulatedInstance home = follower("pwani-a");
            cutServersFromNextLeaders(leader);
            submit(job(2, 2000), home);
            runFor(20);
            leader.process().suspend(millis);
            home.kill();
            resubmit(job(2, 2000), follower("pwani-b"));
            runFor(3000);
            assertNoDoubleRun();
        }
    }

    @Test
    void testSuspendedLeaderDoesNotGoOnWithJobOfFormerProcess() {
        for (int seed = 1; seed <= 2; seed++) {
            for (long millis = 900; millis <= 1000; millis += 100) {
                begin(FleetSimulation.DIVIDED, seed);
                SimulatedInstance leader = leader("pwani-a");
                SimulatedInstance home = follower("pwani-a");
                cutServersFromNextLeaders(leader);
                submit(job(2, 2000), home);
                runFor(20);
                leader.process().suspend(millis);
                home.kill();
                home.start();
                resubmit(job(2, 2000), follower("pwani-b"));
                runFor(2500);
                assertNoDoubleRun();
            }
        }
    }

    @Test
    void testJobOfFormerProcessDoesNotRunOnAfterItsHomeIsBack() {
        for (int seed = 1; seed <= 3; seed++) {
            begin(FleetSimulation.DIVIDED, seed);
            SimulatedInstance home = follower("pwani-a");
            submit(job(2, 2000), home);
            runFor(20);
            home.kill();
            home.start();
            resubmit(job(2, 2000), follower("pwani-b"));
            runFor(2500);
            assertNoDoubleRun();
        }
    }

    @Test
    void testPausedLeaderDoesNotTakeOldAnswerOfLostHomeForSignOfLife() {
        for (long offset = 70; offset <= 110; offset += 10) {
            for (long millis = 900; millis <= 1000; millis += 100) {
                begin(FleetSimulation.DIVIDED, 1);
                SimulatedInstance leader = leader("pwani-a");
                SimulatedInstance home = follower("pwani-a");
                cutServersFromNextLeaders(leader);
                submit(job(2, 2000), home);
                runFor(offset);
                leader.process().pause(millis);
                runFor(3);
                lose(home, 4000);
                resubmit(job(2, 2000), follower("pwani-b"));
                runFor(3000);
                assertNoDoubleRun();
            }
        }
    }

    @Test
    void testJobThatItsCallerHasLeftDoesNotRunOn() {
        begin(FleetSimulation.DIVIDED, 1);
        SimulatedInstance home = follower("pwani-a");
        WorkSpec job = job(2, 2000);
        submit(job, home);
        runFor(20);
        home.process().execute(() -> home.dispatcher().withdraw(job.id(), "caller"));
        resubmit(job, follower("pwani-b"));
        runFor(3000);
        assertNoDoubleRun();
    }

    @Test
    void testSubmissionThatWasHeldUpByCutIsNotStarted() {
        for (int seed = 1; seed <= 5; seed++) {
            for (long millis = 3000; millis <= 4200; millis += 300) {
                begin(ONE_DATA_CENTRE, seed);
                SimulatedInstance leader = leader("pwani-a");
                List<SimulatedInstance> followers = followers("pwani-a");
                Set<String> side = Set.of(leader.mHost.name(), followers.get(0).mHost.name());
                submit(job(2, 2000), followers.get(1));
                cut(
                        (from, to) ->
                                isInstance(from)
                                        && isInstance(to)
                                        && side.contains(from.name()) != side.contains(to.name()),
                        millis);
                runFor(millis + 2500);
                assertNoDoubleRun();
            }
        }
    }

    @Test
    void testNextLeaderWaitsUntilLeaderThatWasCutOffHasGivenUpItsHome() {
        for (int seed = 1; seed <= 5; seed++) {
            for (long busy = 500; busy <= 800; busy += 50) {
                begin(ONE_DATA_CENTRE, seed);
                SimulatedInstance leader = leader("pwani-a");
                SimulatedInstance home = followers("pwani-a").get(1);
                SimulatedServer only = mFleet.mServers.values().iterator().next();
                cut(
                        (from, to) ->
                                isServer(from, to)
                                        && isLinked(from, to, leader.mHost)
                                                != isLinked(from, to, only.mHost),
                        CUT_MILLIS);
                runFor(1500);
                home.process().pause(900);
                runFor(1100);
                submit(other(4, busy), leader);
                runFor(50);
                submit(job(1, 2000), home);
                runFor(50);
                cut(
                        (from, to) -> isLinked(from, to, leader.mHost) && !isServer(from, to),
                        CUT_MILLIS);
                runFor(880);
                leader.kill();
                runFor(4000);
                assertNoDoubleRun();
            }
        }
    }

    @Test
    void testLeaderThatItsHomeHasLeftDoesNotGoOnWithJob() {
        begin(ONE_DATA_CENTRE, 1);
        SimulatedInstance senior = leader("pwani-a");
        senior.process().pause(2500);
        runFor(1500);
        SimulatedInstance leader =
                mFleet.upInstances().stream()
                        .filter(each -> each != senior && each.isLeader())
                        .findFirst()
                        .orElseThrow();
        SimulatedInstance home = followers("pwani-a").get(1);
        submit(job(1, 8000), home);
        runFor(100);
        SimulatedServer used = usedServer();
        cut(
                (from, to) ->
                        isLinked(from, to, senior.mHost) && isLinked(from, to, leader.mHost)
                                || isLinked(from, to, senior.mHost)
                                        && isLinked(from, to, used.mHost)
                                || isLinked(from, to, leader.mHost)
                                        && isServer(from, to)
                                        && !isLinked(from, to, used.mHost),
                CUT_MILLIS);
        runFor(6000);
        assertNoDoubleRun();
    }

    @Test
    void testNextLeaderDoesNotStartJobThatMayRunOnServerThatItCannotPoll() {
        begin(ONE_DATA_CENTRE, 1);
        SimulatedInstance leader = leader("pwani-a");
        submit(job(3, 2000), followers("pwani-a").get(1));
        runFor(50);
        SimulatedServer used = usedServer();
        cut((from, to) -> isLinked(from, to, used.mHost), 5000);
        leader.kill();
        mFleet.mTime.after(100, leader::start);
        runFor(4000);
        assertNoDoubleRun();
    }

    @Test
    void testNextLeaderDoesNotStartJobThatMayRunOnServerThatIsNoLongerListed() {
        begin(ONE_DATA_CENTRE, 1);
        SimulatedInstance leader = leader("pwani-a");
        SimulatedServer only = mFleet.mServers.values().iterator().next();
        cut(
                (from, to) ->
                        isLinked(from, to, leader.mHost) && isLinked(from, to, SimulatedStore.HOST),
                13_200);
        cut(
                (from, to) ->
                        isLinked(from, to, leader.mHost)
                                && isServer(from, to)
                                && !isLinked(from, to, only.mHost),
                3 * CUT_MILLIS);
        mFleet.mStore.remove(SimulatedInstance.SERVERS_PREFIX + only.mId);
        runFor(13_000);
        submit(job(1, 3000), followers("pwani-a").get(1));
        runFor(100);
        assertThat(usedServer(), is(only));
        leader.kill();
        mFleet.mTime.after(100, leader::start);
        runFor(4000);
        assertNoDoubleRun();
    }

    @Test
    void testLateStartOfLostLeaderIsFenced() {
        for (int seed = 1; seed <= 40; seed++) {
            begin(ONE_DATA_CENTRE, seed);
            SimulatedInstance leader = leader("pwani-a");
            cut((from, to) -> from.equals(leader.mHost) && isServer(from, to), 200);
            submit(job(8, 2000), followers("pwani-a").get(1));
            runFor(50);
            leader.kill();
            mFleet.mTime.after(100, leader::start);
            runFor(4000);
            assertNoDoubleRun();
        }
    }
}
