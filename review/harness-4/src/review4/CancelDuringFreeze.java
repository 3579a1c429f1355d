package review4;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An instance freezes while a client waits there for the end of its job. The client cancels the job
 * at another instance, which acknowledges that; the job is started again after the freeze.
 */
final class CancelDuringFreeze extends Case implements Runner.Listener {

    private static final String JOB = "9b0c2f7735d1a64e";
    private static final int FREEZE_MILLIS = 3500;

    private final Set<String> mRunning = ConcurrentHashMap.newKeySet();
    private volatile double mAcknowledged = Double.MAX_VALUE;
    private volatile int mLateStarts;

    public static void main(String[] arguments) {
        run(new CancelDuringFreeze(), arguments[0]);
    }

    @Override
    public void began(Runner runner, String task, int attempt) {
        mRunning.add(task);
        if (mRecord.seconds() > mAcknowledged) {
            mLateStarts++;
        }
        mRecord.add("%s begins %s attempt %d", runner.id(), task, attempt);
    }

    @Override
    public void ended(Runner runner, String task, int attempt, String how) {
        mRunning.remove(task);
        mRecord.add("%s ends %s attempt %d: %s", runner.id(), task, attempt, how);
    }

    @Override
    boolean isBroken() throws Exception {
        List<Runner> runners = new ArrayList<>();
        for (int index = 0; index < 9; index++) {
            String zone = "pwani-" + "abc".charAt(index % 3);
            runners.add(new Runner("w-" + index, "booking-desk", zone, "a", mStore, this));
        }
        mStore.put("op/config", Configuration.of(1, "booking-desk", "booking-desk"));
        mFleet.start();
        Fleet.Instance leader = mFleet.leader();
        mRecord.add("the leader is %s", leader.mName);
        List<Fleet.Instance> followers = new ArrayList<>(mFleet.instances());
        followers.remove(leader);
        Fleet.Instance home = followers.get(0);
        Fleet.Instance other = null;
        for (Fleet.Instance each : followers) {
            if (each != home && each.mZone.equals(home.mZone)) {
                other = each;
            }
        }
        String body =
                "{\"spec\":\"ms=25000 cpu=4000\",\"best_effort\":true,\"phases\":["
                        + "{\"replicas\":4,\"cpu\":4000,\"mem_mb\":64,\"estimate_ms\":25000}]}";
        Thread client =
                new Thread(
                        () -> {
                            mRecord.add("POST %s to %s", JOB, home.mName);
                            Web.Answer answer =
                                    Web.call(
                                            home.front(), "POST", Fleet.HOST,
                                            Configuration.PREFIX + JOB, body, 60_000);
                            mRecord.add("answer to the POST: %d %s", answer.status(), answer.body());
                        });
        client.setDaemon(true);
        client.start();
        for (int waited = 0; mRunning.size() < 4; waited++) {
            if (waited > 100) {
                throw new IllegalStateException("the tasks were not started");
            }
            Clock.sleep(50);
        }
        Clock.sleep(2000);
        if (mTrouble) {
            home.signal("STOP");
        }
        Clock.sleep(FREEZE_MILLIS - 1000);
        Web.Answer cancelled =
                Web.call(other.front(), "DELETE", Fleet.HOST, Configuration.PREFIX + JOB, "", 4000);
        mAcknowledged = mRecord.seconds();
        mRecord.add("DELETE %s at %s: %d", JOB, other.mName, cancelled.status());
        if (cancelled.status() / 100 != 2 && cancelled.status() != 410) {
            throw new IllegalStateException("the cancelling was not acknowledged");
        }
        Clock.sleep(1000);
        if (mTrouble) {
            home.signal("CONT");
        }
        // The freeze ends, machines are in touch 3 s later, and after 3.05 s more nothing may run.
        Clock.sleep(12_000);
        mRecord.add("%.1f s after the acknowledgement these run: %s; starts since: %d",
                mRecord.seconds() - mAcknowledged, mRunning, mLateStarts);
        return !mRunning.isEmpty();
    }
}
