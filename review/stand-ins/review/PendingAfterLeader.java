package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Stored jobs wait behind long ones. The machine that leads is killed. The number of pending jobs
 * that the others give must still be at least half of those that have not begun. Only machines that
 * gave a right number before are judged.
 */
final class PendingAfterLeader extends Case {

    private static final int WAITING_JOBS = 12;

    /** visible_ms + 2 s. */
    private static final double VISIBLE_SECONDS = 5;

    /** contact_ms, with the detection of the loss before it. */
    private static final double CONTACT_SECONDS = 6;

    private static final double JUDGED_SECONDS = 12;

    private final List<Fleet.Machine> mJudged = new ArrayList<>();
    private final List<String> mWaiting = new ArrayList<>();

    private PendingAfterLeader() throws IOException {}

    public static void main(String[] arguments) {
        run(arguments, PendingAfterLeader::new);
    }

    @Override
    void play() throws Exception {
        mFleet.configure(1, 3, 20, 1500);
        mFleet.startRunners(3, 0, "pwani-a", "pwani-b", "pwani-c");
        for (int index = 0; index < 6; index++) {
            mFleet.add("pwani-" + "abc".charAt(index % 3));
        }
        mFleet.awaitRotation(6, 30);
        sleep(3);
        for (int number = 1; number <= 3; number++) {
            if (!submit(jobId(number), job("ms=60000", 2, 14_000, 60_000), anyInRotation(0), 3)) {
                throw new IllegalStateException("a long job is not accepted");
            }
        }
        for (int number = 101; number <= 100 + WAITING_JOBS; number++) {
            String id = jobId(number);
            if (submit(id, job("ms=20000", 1, 14_000, 20_000), anyInRotation(number), 1)) {
                mWaiting.add(id);
            }
        }
        double accepted = Record.now();
        Record.say("%d jobs wait", mWaiting.size());
        if (mWaiting.size() < 4) {
            throw new IllegalStateException("too few jobs wait");
        }
        sleep(VISIBLE_SECONDS + 0.5);
        Fleet.Machine leader = mFleet.leader();
        mJudged.addAll(mFleet.mMachines.values());
        mJudged.remove(leader);
        for (int round = 0; round < 3; round++) {
            mJudged.removeIf(machine -> !givesEnough(machine, false));
            sleep(0.5);
        }
        Record.say("%d machines give the right number", mJudged.size());
        if (mJudged.isEmpty()) {
            throw new IllegalStateException("no machine gives the right number");
        }
        double killed = Record.now();
        if (mTrouble) {
            mFleet.kill(leader);
        }
        while (Record.now() < killed + JUDGED_SECONDS) {
            sleep(1);
            if (Record.now() > killed + CONTACT_SECONDS) {
                mJudged.forEach(machine -> givesEnough(machine, true));
            }
        }
        Record.say("%.1f s after the acceptance", Record.now() - accepted);
    }

    /** Checks the number that a machine gives, and records one that is too low if it is judged. */
    private boolean givesEnough(Fleet.Machine machine, boolean judged) {
        long unbegunBefore = unbegun();
        long pending;
        try {
            Client.Response response = mFleet.call(machine, "GET", "/q/", "", 4500);
            Record.log(
                    "GET /q/ at %s: %d %s", machine.mName, response.status(), response.body());
            if (response.status() != 200) {
                return true;
            }
            pending = Json.number(Json.object(response.body()), "pending");
        } catch (IOException noAnswer) {
            Record.log("GET /q/ at %s: no answer", machine.mName);
            return true;
        }
        long notBegun = Math.min(unbegunBefore, unbegun());
        boolean tooLow = 2 * pending < notBegun;
        if (tooLow && judged) {
            broken(
                    "%s gives %d as pending; %d accepted jobs have not begun",
                    machine.mName, pending, notBegun);
        }
        return !tooLow;
    }

    private long unbegun() {
        return mWaiting.stream().filter(id -> mFleet.mWitness.runsOf(id).isEmpty()).count();
    }
}
