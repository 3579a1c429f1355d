package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Cluster.Backend;
import org.wagtailproxy.integration.FaultProxy.Fault;

/**
 * Guards against tasks that are sent to a backend server more than five seconds after the platform
 * listed it as terminating. Instances that cannot reach the platform receive the list from their
 * peers.
 */
class LeavingBackendIT {

    private static final long LIMIT_MILLISECONDS = 5000;

    @Test
    void testLeavingBackendReceivesNothingAfterFiveSeconds() throws Exception {
        try (Cluster cluster = Cluster.start(Map.of(), 2, 2, 1, 1)) {
            assertNothingStartsAfterLeaving(cluster);
        }
    }

    @Test
    void testInstanceCutOffFromThePlatformHearsItFromItsPeers() throws Exception {
        try (Cluster cluster = Cluster.start(Map.of(), 1, 3, 1, 1)) {
            cluster.entry(0).platformProxy().setFault(Fault.CUT);
            cluster.entry(1).platformProxy().setFault(Fault.FREEZE);
            assertNothingStartsAfterLeaving(cluster);
        }
    }

    private static void assertNothingStartsAfterLeaving(Cluster cluster) throws Exception {
        Backend leavingBackend = cluster.backends().get(0);
        try (ClosedLoopLoad load = ClosedLoopLoad.start(cluster, 6, 10, 20)) {
            Await.until("work flows", 20, () -> leavingBackend.standIn().startedTasks() > 50);
            cluster.putInInstanceList(leavingBackend, true);
            Thread.sleep(LIMIT_MILLISECONDS);
            int startedBefore = leavingBackend.standIn().startedTasks();
            Thread.sleep(3000);
            assertThat(leavingBackend.standIn().startedTasks(), is(startedBefore));
            assertThat(load.completedJobs(), greaterThan(0));
            assertThat(load.jobsWithWrongAnswers(), is(0));
        }
    }
}
