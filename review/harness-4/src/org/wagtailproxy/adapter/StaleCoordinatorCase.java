package org.wagtailproxy.adapter;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.HostAddress;

/**
 * The deployment and the cut of review/11, with its stand-ins. While the former coordinator of the
 * stored jobs, behind the cut, has not noticed the loss of the store, the next one accepts a job, and
 * the former one is asked to cancel it. Rule UNASKED: a cancelled job must not run on.
 */
public final class StaleCoordinatorCase {

    private static final List<String> ZONES = List.of("pwani-a", "pwani-b", "pwani-c");
    private static final String CUT_ZONE = "pwani-a";
    private static final long CUT_MILLIS = 6200;
    private static final long GAP_MILLIS = 1050;
    private static final long READ_MILLIS = 350;
    private static final long CONTACT_MILLIS = 3000;
    private static final long CANCEL_AND_STOP_MILLIS = 3050;
    /** Exit status of a scene in which the former coordinator has stepped down in time. */
    private static final int NOTHING_SHOWN = 3;
    private static final String LONG_JOB = ReviewLoad.job("", 2, 2000, 40_000, "");

    private StaleCoordinatorCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (ReviewRecord record = new ReviewRecord(Path.of(arguments[0]))) {
            record.write("trouble " + trouble);
            try (ReviewFleet fleet = ReviewFleet.create(record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::killAll));
                boolean acknowledged = play(fleet, record, trouble);
                status = !acknowledged ? NOTHING_SHOWN : record.breaks() > 0 ? 10 : 0;
            } catch (Exception failure) {
                record.write("cannot run: " + failure);
                failure.printStackTrace();
            }
            record.write("exit " + status + ", breaks " + record.breaks());
            System.out.println("exit " + status + ", breaks " + record.breaks());
        }
        System.exit(status);
    }

    /**
     * Plays one scene. Returns false if the former coordinator has stepped down before it is asked, and
     * answers 503; that is right and shows nothing.
     */
    private static boolean play(ReviewFleet fleet, ReviewRecord record, boolean trouble)
            throws Exception {
        for (int index = 0; index < 6; index++) {
            String zone = ZONES.get(index % 3);
            fleet.addRunner("i-7f3a91c" + index, zone, "a", "r1-" + index % 3);
        }
        for (String name : List.of("a-1", "a-2", "b-1", "b-2", "c-1")) {
            fleet.addInstance("front-pwani-" + name, "pwani-" + name.charAt(0));
        }
        fleet.start();
        ReviewFleet.Instance former = awaitLeaderInCutZone(fleet);
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
        // The next request of the configuration is on its way when the cut begins.
        TimeUnit.MILLISECONDS.sleep(60);
        long cutMillis = record.nowMillis();
        if (trouble) {
            fleet.cutZone(CUT_ZONE);
        }
        String job = submit(fleet.instances().get(3), record, cutMillis);
        if (!cancel(job, former, record)) {
            load.close();
            return false;
        }
        long acknowledgedMillis = record.nowMillis();
        TimeUnit.MILLISECONDS.sleep(Math.max(0, cutMillis + CUT_MILLIS - record.nowMillis()));
        if (trouble) {
            fleet.healZone();
        }
        load.close();
        TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS + CANCEL_AND_STOP_MILLIS + 3000);
        check(job, acknowledgedMillis, record);
        return true;
    }

    /** Hands a job in until it is accepted, each time under a new id. */
    private static String submit(
            ReviewFleet.Instance instance, ReviewRecord record, long cutMillis) throws Exception {
        while (record.nowMillis() - cutMillis < CUT_MILLIS) {
            String job = ReviewClient.newId();
            ReviewClient.Answer answer =
                    ReviewClient.send(
                            instance.front(), "POST", ReviewFleet.PREFIX + job, LONG_JOB, 400);
            record.write("answer to POST " + job + " at " + instance.name() + ": " + answer);
            if (answer.isOk()) {
                return job;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IllegalStateException("no job was accepted during the cut");
    }

    /** Cancels a job. Returns true if this was acknowledged. */
    private static boolean cancel(
            String job, ReviewFleet.Instance instance, ReviewRecord record) {
        ReviewClient.Answer answer =
                ReviewClient.send(instance.front(), "DELETE", ReviewFleet.PREFIX + job, "", 5000);
        record.write("answer to DELETE " + job + " at " + instance.name() + ": " + answer);
        return answer.isOk() || answer.status() == 410;
    }

    private static void check(String job, long acknowledgedMillis, ReviewRecord record) {
        for (List<ReviewRecord.Run> runs : record.runs()) {
            for (ReviewRecord.Run run : runs) {
                if (run.mTask.startsWith(job) && run.mEndMillis < 0) {
                    record.addBreak(
                            "UNASKED: " + run + " is at work, cancelled at " + acknowledgedMillis);
                }
            }
        }
    }

    private static ReviewFleet.Instance awaitLeaderInCutZone(ReviewFleet fleet) throws Exception {
        for (int attempt = 0; attempt < 4; attempt++) {
            ReviewFleet.Instance leader = fleet.leader();
            if (leader.zone().equals(CUT_ZONE)) {
                return leader;
            }
            leader.terminate();
            TimeUnit.MILLISECONDS.sleep(9000);
        }
        throw new IllegalStateException("no instance of the zone leads");
    }
}
