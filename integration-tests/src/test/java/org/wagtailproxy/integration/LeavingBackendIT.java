package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Cluster.Backend;
import org.wagtailproxy.integration.FaultProxy.Fault;

/** A backend server that is leaving receives no new work after five seconds. */
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
            cluster.entry(0).platformProxy().fault(Fault.CUT);
            cluster.entry(1).platformProxy().fault(Fault.FREEZE);
            assertNothingStartsAfterLeaving(cluster);
        }
    }

    private static void assertNothingStartsAfterLeaving(Cluster cluster) throws Exception {
        Backend leaving = cluster.backends().get(0);
        try (Load load = Load.start(cluster, 6, 10, 20)) {
            Await.until("work flows", 20, () -> leaving.standIn().started() > 50);
            cluster.list(leaving, true);
            Thread.sleep(LIMIT_MILLISECONDS);
            int startedBefore = leaving.standIn().started();
            Thread.sleep(3000);
            assertThat(leaving.standIn().started(), is(startedBefore));
            assertThat(load.completed(), greaterThan(0));
            assertThat(load.wrong(), is(0));
        }
    }
}
