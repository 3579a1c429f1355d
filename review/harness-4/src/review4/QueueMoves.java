package review4;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A configuration sends a queue to another service, and two of 32 runners of the former one leave,
 * the only ones there of the kind that the second step of an accepted job needs. The next service has
 * idle runners of that kind, and the job is not continued.
 */
final class QueueMoves extends Case implements Runner.Listener {

    private static final String JOB = "41dacef2f1e31e84";
    private static final String FORMER = "booking-desk";
    private static final String NEXT = "berth-desk";

    private final Set<String> mDone = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        run(new QueueMoves(), arguments[0]);
    }

    @Override
    public void began(Runner runner, String task, int attempt) {
        mRecord.add("%s of %s begins %s attempt %d", runner.id(), runner.service(), task, attempt);
    }

    @Override
    public void ended(Runner runner, String task, int attempt, String how) {
        if (how.equals("done")) {
            mDone.add(task);
        }
        mRecord.add("%s of %s ends %s attempt %d: %s", runner.id(), runner.service(), task, attempt, how);
    }

    @Override
    boolean isBroken() throws Exception {
        List<Runner> former = new ArrayList<>();
        List<Runner> next = new ArrayList<>();
        for (int index = 0; index < 32; index++) {
            String zone = "pwani-" + "abc".charAt(index % 3);
            String kind = index < 2 ? "b" : "a";
            former.add(new Runner("w-" + index, FORMER, zone, kind, mStore, this));
            if (index < 6) {
                next.add(new Runner("v-" + index, NEXT, zone, "b", mStore, this));
            }
        }
        List<Runner> leaving = former.subList(0, 2);
        mStore.put("op/config", Configuration.of(1, FORMER, FORMER, NEXT));
        mFleet.start();
        String body =
                "{\"spec\":\"ms=8000 cpu=4000\",\"phases\":["
                        + "{\"replicas\":4,\"cpu\":4000,\"mem_mb\":64,\"estimate_ms\":8000},"
                        + "{\"replicas\":4,\"cpu\":4000,\"mem_mb\":64,\"estimate_ms\":8000,\"after\":[0],"
                        + "\"constraints\":\"b\"}]}";
        submit(mFleet.instances().get(4), JOB, body);
        Clock.sleep(1000);
        if (mTrouble) {
            mStore.put("op/config", Configuration.of(2, NEXT, FORMER, NEXT));
            mRecord.add("configuration 2 is acknowledged: the queue's service is %s", NEXT);
            Clock.sleep(1500);
            leaving.forEach(Runner::drain);
            mRecord.add("w-0 and w-1 of %s, of the kind b, report that they drain", FORMER);
        }
        for (int waited = 0; mDone.size() < 4; waited++) {
            if (waited > 300) {
                throw new IllegalStateException("the first step did not end");
            }
            Clock.sleep(50);
        }
        Clock.sleep(500);
        if (mTrouble) {
            leaving.forEach(Runner::leave);
            mRecord.add("w-0 and w-1 have left");
        }
        // The jobs are asked for 14 s after the traffic ends; the second step takes 8 s.
        for (int second = 0; second < 35; second++) {
            Clock.sleep(1000);
            if (mDone.size() == 8) {
                break;
            }
        }
        Clock.sleep(1000);
        String state = call(1, "GET", "").body();
        long free = next.stream().mapToLong(Runner::freeCpu).sum();
        mRecord.add("tasks done: %d of 8; free cpu at %s: %d of %d", mDone.size(), NEXT, free, 6 * Runner.capacityCpu());
        return !state.contains("completed") && free >= 2 * 4 * 4000;
    }

    private Web.Answer call(int instance, String method, String body) {
        Web.Answer answer =
                Web.call(
                        mFleet.instances().get(instance).front(),
                        method,
                        Fleet.HOST,
                        Configuration.PREFIX + JOB,
                        body,
                        5000);
        mRecord.add("%s %s: %d %s", method, JOB, answer.status(), answer.body());
        return answer;
    }
}
