package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Homes that lose power shortly before their leader is killed. */
class HomeAndLeaderLostTest {

    private static final long SIMULATED_MILLIS = 20_000;
    private static final int INTERVAL_MILLIS = 4000;
    private static final long DOWN_MILLIS = 2500;

    private static void scheduleLosses(FleetSimulation fleet) {
        for (int at = INTERVAL_MILLIS; at < SIMULATED_MILLIS; at += INTERVAL_MILLIS) {
            fleet.mTime.after(at, () -> loseHomeThenLeader(fleet));
        }
    }

    private static void loseHomeThenLeader(FleetSimulation fleet) {
        List<SimulatedInstance> up = fleet.upInstances();
        List<SimulatedInstance> leaders = up.stream().filter(SimulatedInstance::isLeader).toList();
        List<SimulatedInstance> homes =
                up.stream()
                        .filter(each -> !each.isLeader())
                        .filter(each -> each.mHost.dataCentre().equals("pwani-a"))
                        .toList();
        if (leaders.size() != 1 || homes.isEmpty()) {
            return;
        }
        SimulatedInstance leader = leaders.get(0);
        SimulatedInstance home = fleet.mTime.oneOf(homes);
        fleet.mTime.note("fault: " + home.mHost.name() + " loses power");
        fleet.mNetwork.cut(
                (from, to) -> from.equals(home.mHost) || to.equals(home.mHost), DOWN_MILLIS);
        home.kill();
        fleet.mTime.after(DOWN_MILLIS, home::start);
        fleet.upInstances().stream()
                .filter(each -> each != leader)
                .forEach(each -> silenceWaysToServers(fleet, each));
        fleet.mTime.after(
                fleet.mTime.between(450, 900),
                () -> {
                    leader.kill();
                    fleet.mTime.after(DOWN_MILLIS, leader::start);
                });
    }

    private static void silenceWaysToServers(FleetSimulation fleet, SimulatedInstance instance) {
        for (SimulatedServer server : fleet.mServers.values()) {
            fleet.mNetwork.mCommandDisruptions.silence(instance.process(), server);
        }
    }

    @Test
    @Tag("known-red")
    void testRunOfLostHomeHasEndedBeforeItsCallerSendsTheJobAgain() {
        FleetSimulation fleet = new FleetSimulation(29, FleetSimulation.POOLED);
        scheduleLosses(fleet);
        fleet.run(SIMULATED_MILLIS);
        assertThat(fleet.report(), is(""));
    }
}
