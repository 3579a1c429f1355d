package org.wagtailproxy.adapter;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.HostAddress;

/**
 * Two of five instances are stopped with SIGTERM in turn and started again. While they are away, the
 * configuration changes, and the zone of the leader, with two instances and two runners, is cut off. Rule TWICE: no task of a stored job runs
 * twice at the same time, nor starts after a run has ended done.
 */
final class TwoMajoritiesScenario implements ReviewCase.Scenario {

    private static final List<String> ZONES = List.of("pwani-a", "pwani-b", "pwani-c");
    private static final String CUT_ZONE = "pwani-a";
    private static final long CUT_MILLIS = 6200;
    private static final long GAP_MILLIS = 1200;

    /** Time in which the instances read that one has removed its registration. */
    private static final long READ_MILLIS = 350;

    @Override
    public void play(ReviewFleet fleet, ReviewRecord record, boolean trouble) throws Exception {
        for (int index = 0; index < 6; index++) {
            String zone = ZONES.get(index % 3);
            fleet.addRunner("i-7f3a91c" + index, zone, "a", "r1-" + index % 3);
        }
        for (String name : List.of("a-1", "a-2", "b-1", "b-2", "c-1")) {
            fleet.addInstance("front-pwani-" + name, "pwani-" + name.charAt(0));
        }
        fleet.start();
        awaitLeaderIn(fleet, CUT_ZONE);
        ReviewLoad load = new ReviewLoad(record);
        List<HostAddress> all = fleet.instances().stream().map(each -> each.front()).toList();
        String stored = ReviewLoad.job("", 2, 2000, 5000, "");
        load.start(400, () -> load.draw(all), () -> stored);
        TimeUnit.MILLISECONDS.sleep(6000);
        ReviewFleet.Instance first = fleet.instances().get(2);
        ReviewFleet.Instance second = fleet.instances().get(4);
        first.terminate();
        TimeUnit.MILLISECONDS.sleep(GAP_MILLIS);
        second.terminate();
        while (second.isAlive()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
        fleet.configure();
        TimeUnit.MILLISECONDS.sleep(30);
        if (trouble) {
            fleet.cutZone(CUT_ZONE);
        }
        TimeUnit.MILLISECONDS.sleep(CUT_MILLIS);
        if (trouble) {
            fleet.healZone();
        }
        TimeUnit.MILLISECONDS.sleep(6000);
        load.close();
        TimeUnit.MILLISECONDS.sleep(14_000);
        ReviewChecks.checkTwice(record, run -> true);
    }

    /** Restarts leaders in other zones as planned work until an instance of the zone leads. */
    private static void awaitLeaderIn(ReviewFleet fleet, String zone) throws Exception {
        for (int attempt = 0; attempt < 4; attempt++) {
            ReviewFleet.Instance leader = fleet.leader();
            if (leader.zone().equals(zone)) {
                return;
            }
            leader.terminate();
            TimeUnit.MILLISECONDS.sleep(9000);
        }
        throw new IllegalStateException("no instance of the zone leads");
    }
}
