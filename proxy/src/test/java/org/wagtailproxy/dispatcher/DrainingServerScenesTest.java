package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Plays sequences of faults in which a leader places tasks by a list of servers that lacks the
 * latest changes, and checks that a server gets none two seconds after it has said that it drains.
 */
class DrainingServerScenesTest extends FleetScenes {

    private static final FleetSimulation.Size THREE_DATA_CENTRES =
            new FleetSimulation.Size(List.of("pwani-a", "pwani-b", "pwani-c"), 1, 2, 4);

    private static final long DRAIN_MILLIS = 2000;

    /** Time after a disturbance of connections from which on every instance has to know better. */
    private static final long CONTACT_MILLIS = 3000;

    /** Enough to see each phase of a follower that reads the servers every four seconds. */
    private static final int SEEDS = 20;

    private int mJobs;

    private void beginWithLoad(int seed) {
        begin(THREE_DATA_CENTRES, seed);
        submitRepeatedly();
        runFor(1000);
    }

    /** Hands in more jobs than fit, so that every server that may get tasks has some. */
    private void submitRepeatedly() {
        String id = String.format("%016x", 0xe000 + mJobs++);
        List<SimulatedInstance> up = mFleet.upInstances();
        if (!up.isEmpty()) {
            submit(job(id, 4, 150), mFleet.mTime.oneOf(up));
        }
        mFleet.mTime.after(25, this::submitRepeatedly);
    }

    /** Lists a server as draining, and returns when. */
    private long drain(SimulatedServer server) {
        server.mLeaving = true;
        mFleet.list(server);
        return mFleet.mTime.nowMillis();
    }

    private void silenceStoreConnections() {
        mFleet.upInstances().forEach(each -> mFleet.mStore.mDisruptions.silence(each.process()));
    }

    private SimulatedServer anyServer() {
        return mFleet.mTime.oneOf(List.copyOf(mFleet.mServers.values()));
    }

    /** Returns the starts on a server after a time. */
    private List<String> startsAfter(SimulatedServer server, long millis) {
        return mFleet.mTime.trace(List.of(server.mId + " starts")).stream()
                .filter(line -> Double.parseDouble(line.substring(0, line.indexOf(' '))) > millis)
                .toList();
    }

    /** Guards against a new leader that places tasks by the list that it had as a follower. */
    @Test
    void testNextLeaderStartsNothingOnServerThatDrains() {
        int starts = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            beginWithLoad(seed);
            SimulatedServer server = anyServer();
            long drainingMillis = drain(server);
            runFor(DRAIN_MILLIS + 100);
            int before = mFleet.mStarts;
            leaderOfAll().kill();
            runFor(1500);
            assertThat(startsAfter(server, drainingMillis + DRAIN_MILLIS), is(empty()));
            starts += mFleet.mStarts - before;
            assertNoDoubleRun();
        }
        assertThat(starts, is(greaterThan(SEEDS)));
    }

    /** Guards against a new leader that asks for the list on a connection that has gone silent. */
    @Test
    void testNextLeaderWhoseStoreConnectionsWentSilentStartsNothingOnServerThatDrains() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            beginWithLoad(seed);
            SimulatedServer server = anyServer();
            long drainingMillis = drain(server);
            runFor(DRAIN_MILLIS + 100);
            silenceStoreConnections();
            leaderOfAll().kill();
            runFor(1800);
            assertThat(startsAfter(server, drainingMillis + DRAIN_MILLIS), is(empty()));
            assertNoDoubleRun();
        }
    }

    /** The same for a leader that hands over as it is stopped, and for one that is paused. */
    @Test
    void testLeaderAfterPlannedStopOrPauseStartsNothingOnServerThatDrains() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            beginWithLoad(seed);
            SimulatedServer server = anyServer();
            long drainingMillis = drain(server);
            runFor(DRAIN_MILLIS + 100);
            SimulatedInstance leader = leaderOfAll();
            if (seed % 2 == 0) {
                leader.stop(6000, leader::kill);
            } else {
                leader.process().pause(1200);
            }
            runFor(3000);
            assertThat(startsAfter(server, drainingMillis + DRAIN_MILLIS), is(empty()));
            assertNoDoubleRun();
        }
    }

    /** Guards against a leader that waits for changes on a connection that has gone silent. */
    @Test
    void testLeaderWhoseStoreConnectionsWentSilentStartsNothingOnServerThatDrains() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            beginWithLoad(seed);
            long silentMillis = mFleet.mTime.nowMillis();
            silenceStoreConnections();
            runFor(900);
            SimulatedServer server = anyServer();
            long drainingMillis = drain(server);
            runFor(6000);
            long fromMillis =
                    Math.max(drainingMillis + DRAIN_MILLIS, silentMillis + CONTACT_MILLIS);
            assertThat(startsAfter(server, fromMillis), is(empty()));
            assertNoDoubleRun();
        }
    }

    /** While the store is down no list can be confirmed, and callers have to be served by it. */
    @Test
    void testTasksAreStartedWhileTheStoreIsDownAndTheLeaderIsLost() {
        for (int seed = 1; seed <= 5; seed++) {
            beginWithLoad(seed);
            mFleet.mStore.mDown = true;
            runFor(3000);
            leaderOfAll().kill();
            runFor(1500);
            int before = mFleet.mStarts;
            runFor(1000);
            assertThat(mFleet.mStarts - before, is(greaterThan(20)));
            assertNoDoubleRun();
        }
    }

    private SimulatedInstance leaderOfAll() {
        return mFleet.upInstances().stream()
                .filter(SimulatedInstance::isLeader)
                .findFirst()
                .orElseThrow();
    }
}
