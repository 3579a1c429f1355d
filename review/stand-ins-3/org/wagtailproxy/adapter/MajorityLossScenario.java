package org.wagtailproxy.adapter;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Three of five instances are killed while a service of six tasks that last is at work, of which
 * one may be missing. The leader and all runners go on. Rule AVAIL: no stop ends a task at work on
 * a sound runner while as many others as may be missing are away.
 */
final class MajorityLossScenario implements ReviewCase.Scenario {

    private static final List<String> ZONES = List.of("pwani-a", "pwani-b", "pwani-c");
    private static final int TASKS = 6;
    private static final int MAY_MISS = 1;

    @Override
    public void play(ReviewFleet fleet, ReviewRecord record, boolean trouble) throws Exception {
        for (int index = 0; index < 6; index++) {
            fleet.addRunner("i-7f3a91c" + index, ZONES.get(index % 3), "a", "r1-" + index % 3);
        }
        for (int index = 0; index < 5; index++) {
            String zone = ZONES.get(index % 3);
            fleet.addInstance("front-" + zone + "-" + (1 + index / 3), zone);
        }
        fleet.start();
        String id = ReviewClient.newId();
        String body =
                ReviewLoad.job(
                        ",\"long_running\":true",
                        TASKS,
                        4000,
                        0,
                        ",\"may_miss\":" + MAY_MISS + ",\"anti_affinity\":1");
        record.write("POST " + id + " " + body);
        ReviewClient.Answer answer =
                ReviewClient.send(
                        fleet.instances().get(0).front(),
                        "POST",
                        ReviewFleet.PREFIX + id,
                        body,
                        4000);
        record.write("answer to POST " + id + ": " + answer);
        if (!answer.isOk()) {
            throw new IllegalStateException("the job was not accepted: " + answer);
        }
        TimeUnit.MILLISECONDS.sleep(8000);
        if (record.runs().size() < TASKS) {
            throw new IllegalStateException("not all tasks are at work");
        }
        if (trouble) {
            ReviewFleet.Instance leader = fleet.leader();
            int killed = 0;
            for (ReviewFleet.Instance instance : fleet.instances()) {
                if (instance != leader && killed < 3) {
                    instance.kill();
                    killed++;
                }
            }
        }
        TimeUnit.MILLISECONDS.sleep(15_000);
        check(record);
    }

    /** Counts, at the end of each task that a stop has ended, the others that are away. */
    private static void check(ReviewRecord record) {
        List<List<ReviewRecord.Run>> tasks = record.runs();
        for (List<ReviewRecord.Run> task : tasks) {
            for (ReviewRecord.Run stopped : task) {
                if (!stopped.mEnd.equals("stopped")) {
                    continue;
                }
                int away = 0;
                for (List<ReviewRecord.Run> other : tasks) {
                    away += other != task && isAway(other, stopped) ? 1 : 0;
                }
                if (away >= MAY_MISS) {
                    record.addBreak(
                            "AVAIL: a stop ends " + stopped + " while " + away + " are away");
                }
            }
        }
    }

    /** Checks whether a stop had ended a task before that is not at work again. */
    private static boolean isAway(List<ReviewRecord.Run> task, ReviewRecord.Run stopped) {
        boolean away = false;
        for (ReviewRecord.Run run : task) {
            if (run.mStartMillis <= stopped.mEndMillis) {
                away = run.mEnd.equals("stopped") && run.mEndMillis < stopped.mEndMillis;
            }
        }
        return away;
    }
}
