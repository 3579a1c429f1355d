package review;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * Runs one case: exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
 */
abstract class Case {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** Time after which a case ends itself; the issue allows 120 s. */
    private static final long MAX_MILLIS = 112_000;

    /** True unless the variable TROUBLE is 0. */
    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

    Fleet mFleet;
    private int mBreaks;

    Case() throws IOException {
        mFleet = new Fleet(0);
    }

    /** Plays the case; returns normally if it could be judged. */
    abstract void play() throws Exception;

    /** Records that the rule is broken. */
    synchronized void broken(String format, Object... arguments) {
        mBreaks++;
        Record.say("BROKEN: " + format, arguments);
    }

    static void run(String[] arguments, Factory factory) {
        int code = NOT_RUN;
        try {
            Record.open(arguments[0]);
            Thread limit =
                    new Thread(
                            () -> {
                                sleep(MAX_MILLIS / 1000.0);
                                Record.say("the time is up");
                                System.exit(NOT_RUN);
                            });
            limit.setDaemon(true);
            limit.start();
            Case played = factory.create();
            Record.say("disruption: %s", played.mTrouble ? "yes" : "no");
            played.play();
            code = played.mBreaks == 0 ? HELD : BROKEN;
        } catch (Throwable failure) {
            // Anything else would end the process with 1, which stands for a broken rule.
            System.out.println("the case could not run: " + failure);
        }
        Record.say("exit %d", code);
        System.exit(code);
    }

    /** Creates a case. */
    interface Factory {
        Case create() throws IOException;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.round(seconds * 1000));
        } catch (InterruptedException end) {
            throw new IllegalStateException(end);
        }
    }

    static String jobId(int number) {
        return String.format("5c0e7a21%08x", number);
    }

    /** Returns the body of a job of one step. */
    static String job(String spec, int tasks, long cpu, long estimateMillis) {
        return Json.write(
                Json.of(
                        "spec",
                        spec,
                        "phases",
                        List.of(
                                Json.of(
                                        "replicas",
                                        tasks,
                                        "cpu",
                                        cpu,
                                        "mem_mb",
                                        64,
                                        "estimate_ms",
                                        estimateMillis))));
    }

    /** Returns the body of a job that need not be stored. */
    static String bestEffort(String job) {
        Map<String, Object> body = Json.object(job);
        body.put("best_effort", true);
        return Json.write(body);
    }

    /**
     * Submits a job as a sound client does: again under the same id after no answer, 502 or 504,
     * and after a refusal.
     *
     * @return true once it is accepted
     */
    boolean submit(String id, String body, Fleet.Machine first, int attempts) {
        Fleet.Machine machine = first;
        for (int attempt = 1; attempt <= attempts; attempt++) {
            try {
                Client.Response response =
                        mFleet.call(machine, "POST", "/q/" + id, body, 1500);
                Record.log("POST %s at %s: %d", id, machine.mName, response.status());
                if (response.status() / 100 == 2) {
                    return true;
                }
            } catch (IOException noAnswer) {
                Record.log("POST %s at %s: no answer", id, machine.mName);
            }
            sleep(1.3);
            machine = anyInRotation(attempt);
        }
        return false;
    }

    /** Returns a machine in rotation. */
    Fleet.Machine anyInRotation(int hash) {
        List<Fleet.Machine> rotation =
                mFleet.mMachines.values().stream().filter(Fleet.Machine::isInRotation).toList();
        return rotation.isEmpty()
                ? mFleet.mMachines.values().iterator().next()
                : rotation.get(Math.floorMod(hash, rotation.size()));
    }

    /** Asks for the state of a job once; empty if there is no answer with a state. */
    String state(String id, Fleet.Machine machine) {
        try {
            Client.Response response = mFleet.call(machine, "GET", "/q/" + id, "", 4500);
            Record.log(
                    "GET %s at %s: %d %s",
                    id, machine.mName, response.status(), response.body());
            return response.status() == 410 ? "410" : response.state();
        } catch (IOException noAnswer) {
            Record.log("GET %s at %s: no answer", id, machine.mName);
            return "";
        }
    }
}
