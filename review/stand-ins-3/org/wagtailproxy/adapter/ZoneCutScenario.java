package org.wagtailproxy.adapter;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.HostAddress;

/**
 * A zone with the leader and two runners is cut off while stored jobs and jobs whose callers wait
 * are handed in everywhere. Rule TWICE: no task starts after a run of it has ended done, if that
 * end is taken note of without a lapse of the runner's lease.
 */
final class ZoneCutScenario implements ReviewCase.Scenario {

    private static final List<String> ZONES = List.of("pwani-a", "pwani-b", "pwani-c");
    private static final long CUT_MILLIS = 5500;

    @Override
    public void play(ReviewFleet fleet, ReviewRecord record, boolean trouble) throws Exception {
        for (int index = 0; index < 6; index++) {
            String zone = ZONES.get(index % 3);
            fleet.addRunner("i-7f3a91c" + index, zone, "a", "r1-" + index % 3);
        }
        for (int index = 0; index < 5; index++) {
            String zone = ZONES.get(index % 3);
            fleet.addInstance("front-" + zone + "-" + index / 3, zone);
        }
        fleet.start();
        ReviewLoad load = new ReviewLoad(record);
        List<HostAddress> all = fleet.instances().stream().map(each -> each.front()).toList();
        String stored = ReviewLoad.job("", 4, 2000, 300, "");
        load.start(120, () -> load.draw(all), () -> stored);
        String waiting = ReviewLoad.job(",\"best_effort\":true", 5, 2000, 700, "");
        String zone = fleet.leader().zone();
        for (String each : ZONES) {
            List<HostAddress> near =
                    fleet.instances().stream()
                            .filter(instance -> instance.zone().equals(each))
                            .map(instance -> instance.front())
                            .toList();
            load.start(each.equals(zone) ? 250 : 700, () -> load.draw(near), () -> waiting);
        }
        TimeUnit.MILLISECONDS.sleep(6000);
        if (trouble) {
            fleet.cutZone(zone);
            TimeUnit.MILLISECONDS.sleep(CUT_MILLIS);
            fleet.healZone();
        } else {
            TimeUnit.MILLISECONDS.sleep(CUT_MILLIS);
        }
        TimeUnit.MILLISECONDS.sleep(8000);
        load.close();
        TimeUnit.MILLISECONDS.sleep(4000);
        ReviewChecks.checkTwice(record, ZoneCutScenario::isStored);
    }

    /** The jobs whose callers wait need not be kept; their tasks run 700 ms. */
    private static boolean isStored(ReviewRecord.Run run) {
        return run.mSpec.endsWith("ms=300");
    }
}
