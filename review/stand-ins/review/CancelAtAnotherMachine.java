package review;

import java.io.IOException;
import java.util.List;

/**
 * A client waits for a best-effort job on one connection and cancels the job on another one. A
 * machine that was added to the client's zone in between gets the second connection. The tasks have
 * to be gone cancel_ms and stop_timeout_ms after the cancellation was acknowledged.
 */
final class CancelAtAnotherMachine extends Case {

    private static final long TASK_MILLIS = 30_000;
    private static final int TASKS = 4;
    private static final double CANCEL_SECONDS = 3;
    private static final double STOP_SECONDS = 0.05;
    private static final double CONTACT_SECONDS = 3;

    private CancelAtAnotherMachine() throws IOException {}

    public static void main(String[] arguments) {
        run(arguments, CancelAtAnotherMachine::new);
    }

    @Override
    void play() throws Exception {
        mFleet.configure(1, 3, 2, 60_000);
        mFleet.startRunners(6, 0, "pwani-a", "pwani-b", "pwani-c");
        for (int index = 0; index < 6; index++) {
            mFleet.add("pwani-" + "abc".charAt(index % 3));
        }
        mFleet.awaitRotation(6, 30);
        sleep(3);
        // With two machines in the zone, the client's hash selects the second one; with three, the
        // third one.
        int client = 5;
        String id = jobId(7);
        String body = bestEffort(job("ms=" + TASK_MILLIS, TASKS, 14_000, TASK_MILLIS));
        Fleet.Machine home = mFleet.forward("pwani-a", client);
        Thread waiting =
                new Thread(
                        () -> {
                            try {
                                Client.Response response =
                                        mFleet.call(home, "POST", "/q/" + id, body, 60_000);
                                Record.log("POST %s: %d %s", id, response.status(), response.body());
                            } catch (IOException noAnswer) {
                                Record.log("POST %s: no answer", id);
                            }
                        });
        waiting.setDaemon(true);
        Record.say("POST %s goes to %s", id, home.mName);
        waiting.start();
        sleep(2);
        if (mFleet.mWitness.active(id) != TASKS) {
            throw new IllegalStateException("the job does not run");
        }
        if (mTrouble) {
            mFleet.add("pwani-a");
            mFleet.awaitRotation(7, 15);
            Record.say("a machine was added to the zone of the client");
        }
        sleep(2 * CONTACT_SECONDS);
        Fleet.Machine other = mFleet.forward("pwani-a", client);
        Client.Response response = mFleet.call(other, "DELETE", "/q/" + id, "", 5000);
        double acknowledged = Record.now();
        Record.say("DELETE %s at %s: %d", id, other.mName, response.status());
        if (response.status() / 100 != 2 && response.status() != 410) {
            throw new IllegalStateException("the cancellation is not acknowledged");
        }
        sleep(CANCEL_SECONDS + STOP_SECONDS + 1);
        List<Witness.Run> runs = mFleet.mWitness.runsOf(id);
        for (Witness.Run run : runs) {
            if (run.mEnd.isEmpty()) {
                broken(
                        "task %s still runs on %s, %.2f s after the cancellation was acknowledged"
                                + " with %d",
                        run.mTask, run.mRunner, Record.now() - acknowledged, response.status());
            }
        }
    }
}
