package org.wagtailproxy.adapter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.HostAddress;

/**
 * All open connections to the store go silent, once, while new ones work. Soon after, two of the
 * runners report, as planned work, that they are draining. Rule DRAIN: a machine in touch starts no
 * task on them later than drain_ms after the store has accepted the report.
 */
final class SilentStoreScenario implements ReviewCase.Scenario {

    private static final List<String> ZONES = List.of("pwani-a", "pwani-b", "pwani-c");
    private static final long DRAIN_MILLIS = 2000;
    private static final long CONTACT_MILLIS = 3000;
    private static final long DRAINED_AFTER_MILLIS = 900;

    /** The pauses and clock readings of this program count for the machines. */
    private static final long MARGIN_MILLIS = 50;

    @Override
    public void play(ReviewFleet fleet, ReviewRecord record, boolean trouble) throws Exception {
        for (int index = 0; index < 12; index++) {
            String id = String.format("i-7f3a91%02d", index);
            fleet.addRunner(id, ZONES.get(index % 3), "a", "r1-" + index % 3);
        }
        for (int index = 0; index < 5; index++) {
            String zone = ZONES.get(index % 3);
            fleet.addInstance("front-" + zone + "-" + (1 + index / 3), zone);
        }
        fleet.start();
        ReviewLoad load = new ReviewLoad(record);
        List<HostAddress> all = fleet.instances().stream().map(each -> each.front()).toList();
        String body = ReviewLoad.job(",\"best_effort\":true", 4, 7000, 250, "");
        load.start(25, () -> load.draw(all), () -> body);
        TimeUnit.MILLISECONDS.sleep(6000);
        long silentMillis = -CONTACT_MILLIS;
        if (trouble) {
            fleet.silenceStoreConnections();
            silentMillis = record.nowMillis();
        }
        TimeUnit.MILLISECONDS.sleep(DRAINED_AFTER_MILLIS);
        Map<String, Long> drainingSince = new HashMap<>();
        for (ReviewRunner runner : fleet.runners().subList(0, 2)) {
            runner.drain();
            fleet.writeEntry(runner);
            drainingSince.put(runner.id(), record.nowMillis());
            record.write("the store has accepted that " + runner.id() + " is draining");
        }
        TimeUnit.MILLISECONDS.sleep(8000);
        load.close();
        TimeUnit.MILLISECONDS.sleep(2000);
        for (List<ReviewRecord.Run> runs : record.runs()) {
            for (ReviewRecord.Run run : runs) {
                Long since = drainingSince.get(run.mRunner);
                boolean late =
                        since != null && run.mStartMillis > since + DRAIN_MILLIS + MARGIN_MILLIS;
                if (late && run.mStartMillis > silentMillis + CONTACT_MILLIS + MARGIN_MILLIS) {
                    record.addBreak(
                            "DRAIN: "
                                    + run
                                    + " begins, draining since "
                                    + since
                                    + ", connections silent since "
                                    + silentMillis);
                }
            }
        }
    }
}
