package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Tests the claim of backend servers that answer again after a network partition. */
class ServerRecoveryTest {

    /** Time in which the leader on the other side of the partition is reached again. */
    private static final long PEERS_REACHED_MILLIS = 600;

    private final ServerSimulation mSimulation = new ServerSimulation();

    @Test
    void testIdleServerOfAnotherLeaderIsNotClaimedAtOnceWhenAPartitionHeals() {
        var server = unreachableServer(ClaimMode.IF_UNUSED);
        // The other leader has claimed the server with a token below those used on this side.
        server.mToken = 1;
        server.mUnresponsive = false;
        while (server.mPolls == 0) {
            mSimulation.run(1);
        }
        mSimulation.run(PEERS_REACHED_MILLIS);
        assertThat(server.mToken, is(1L));
        assertThat(heldServers(), is(0));
    }

    @Test
    void testIdleServerThatAnswersAgainIsClaimedIfNoOtherLeaderAppears() {
        var server = unreachableServer(ClaimMode.IF_UNUSED);
        server.mUnresponsive = false;
        mSimulation.run(2500);
        assertThat(heldServers(), is(1));
    }

    @Test
    void testServerWithPriorityIsClaimedAtOnceWhenItAnswersAgain() {
        var server = unreachableServer(ClaimMode.FIRST);
        server.mUnresponsive = false;
        mSimulation.run(PEERS_REACHED_MILLIS);
        assertThat(heldServers(), is(1));
    }

    /** Guards against waiting for a poll that hangs on a connection of the former incarnation. */
    @Test
    void testRestartThatTheAnswerToAStartShowsIsNoticedAtOnce() {
        var server = mSimulation.add("s0", 1, 32_000);
        mSimulation.run(5000);
        server.restart();
        JobId id = new JobId("0000000000000001");
        WorkSpec spec =
                WorkSpec.of(
                        id,
                        ServerSimulation.SERVICE,
                        "text",
                        List.of(StepSpec.of(1, ResourceAmount.of(14_000, 64, 0), 60)),
                        QueueTerms.of(0, 1.6, 60, 2));
        long nowNanos = mSimulation.nowNanos();
        long deadlineNanos = nowNanos + 1000 * ServerSimulation.NANOS_PER_MILLI;
        long submittedMillis = mSimulation.nowMillis();
        mSimulation.mScheduler.submit(spec, WorkProgress.NONE, nowNanos, deadlineNanos, nowNanos);
        mSimulation.flush();
        mSimulation.run(1000);
        assertThat(mSimulation.outcome(id).get(), is(WorkOutcome.Kind.COMPLETE));
        assertThat(mSimulation.mStarts, is(1));
        assertThat(mSimulation.mEndedMillis.get(id) - submittedMillis, is(lessThan(100L)));
    }

    private ServerSimulation.SimulatedServer unreachableServer(ClaimMode mode) {
        mSimulation.mTokens.observe(50 * FencingTokenSource.STEP);
        var server = mSimulation.add("s0", 1, 32_000);
        server.mClaim = mode;
        server.mUnresponsive = true;
        mSimulation.list();
        mSimulation.run(3000);
        return server;
    }

    private int heldServers() {
        return mSimulation.mScheduler.state(mSimulation.nowNanos()).heldServers();
    }
}
