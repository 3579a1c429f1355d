package org.wagtailproxy.adapter;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.HostAddress;

/**
 * Runners crash, one at a time, and start again under their ids as another kind. They write their
 * entries as they start. Rule ROUTE: no task starts on a runner without the label in constraints.
 */
final class KindScenario implements ReviewCase.Scenario {

    private static final List<String> ZONES = List.of("pwani-a", "pwani-b", "pwani-c");
    private static final int CRASHES = 3;
    private static final long DOWN_MILLIS = 300;

    @Override
    public void play(ReviewFleet fleet, ReviewRecord record, boolean trouble) throws Exception {
        for (int index = 0; index < 10; index++) {
            String kind = index < 6 ? "b" : "a";
            fleet.addRunner("i-7f3a91c" + index, ZONES.get(index % 3), kind, "r1-" + index % 3);
        }
        for (String zone : ZONES) {
            fleet.addInstance("front-" + zone + "-1", zone);
        }
        fleet.start();
        ReviewLoad load = new ReviewLoad(record);
        List<HostAddress> all = fleet.instances().stream().map(each -> each.front()).toList();
        String body =
                ReviewLoad.job(
                        ",\"best_effort\":true", 4, 8000, 300, ",\"constraints\":\"b\"");
        load.start(50, () -> load.draw(all), () -> body);
        TimeUnit.MILLISECONDS.sleep(5000);
        for (int index = 0; index < CRASHES; index++) {
            if (trouble) {
                ReviewRunner runner = fleet.runners().get(index);
                runner.crash();
                TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
                runner.startAs("a");
                fleet.writeEntry(runner);
            }
            TimeUnit.MILLISECONDS.sleep(5000);
        }
        load.close();
        TimeUnit.MILLISECONDS.sleep(3000);
        for (List<ReviewRecord.Run> runs : record.runs()) {
            for (ReviewRecord.Run run : runs) {
                if (!run.mLabels.startsWith("b,")) {
                    record.addBreak("ROUTE: " + run + " needs label b, has " + run.mLabels);
                }
            }
        }
    }
}
