package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Stands in for a runner that guards its capacity. The spec of a job tells how its tasks behave:
 * {@code ms=60} is the time of a run, {@code fail=2} lets the first two runs of each task end as
 * failed by the task's own fault, and {@code cpu=14000} is what a task takes.
 */
final class Runner {

    static final long CAPACITY_CPU = 32_000;
    private static final long MAX_HOLD_MILLIS = 1000;
    private static final long STOP_MILLIS = 20;
    private static final int SLOTS = 8;
    private static final int LISTED_ENDS = 500;

    private final String mId;
    private final String mAddress;
    private final String mServiceName;
    private final String mZone;
    private final String mKind;
    private final Witness mWitness;
    private final HttpService mService;
    private long mBornMillis = System.currentTimeMillis();
    private long mBornNanos = System.nanoTime();
    private final Map<String, Active> mRunning = new LinkedHashMap<>();
    private final Map<String, Long> mHighestOver = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private long mNextEnd = 1;
    private long mToken;
    private long mLeaseUntil;
    private long mSequence;
    private boolean mDark;

    /** The last time, on the runner's clock, at which it had no lease. */
    private long mLapsedClock = -1;

    private static final class Active {
        private final Witness.Run mRun;
        private final long mCpu;
        private final long mStartClock;
        private final long mMillis;
        private final boolean mFails;
        private long mStopClock = Long.MAX_VALUE;

        private Active(Witness.Run run, long cpu, long startClock, long millis, boolean fails) {
            mRun = run;
            mCpu = cpu;
            mStartClock = startClock;
            mMillis = millis;
            mFails = fails;
        }
    }

    private record End(long number, Witness.Run run, long clock) {}

    Runner(
            String id,
            String host,
            int port,
            String service,
            String zone,
            String kind,
            Witness witness)
            throws IOException {
        mKind = kind;
        mId = id;
        mAddress = host + ":" + port;
        mServiceName = service;
        mZone = zone;
        mWitness = witness;
        mService = new HttpService(host, port, this::handle);
        Thread worker = new Thread(this::work, "runner " + id);
        worker.setDaemon(true);
        worker.start();
    }

    String id() {
        return mId;
    }

    /** Takes the power away: everything that runs ends, and nothing is answered. */
    synchronized void powerOff() {
        Record.say("%s loses its power", mId);
        mDark = true;
        mService.powerOff();
        for (Active each : List.copyOf(mRunning.values())) {
            mWitness.end(each.mRun, "crashed");
        }
        mRunning.clear();
        notifyAll();
    }

    /** Starts again under the same id; nothing of before is known. */
    synchronized void powerOn() {
        mHighestOver.clear();
        mEnds.clear();
        mNextEnd = 1;
        mToken = 0;
        mLeaseUntil = 0;
        mLapsedClock = -1;
        mSequence = 0;
        mBornMillis = System.currentTimeMillis();
        mBornNanos = System.nanoTime();
        mDark = false;
        mService.powerOn();
        Record.say("%s has started again", mId);
    }

    /** Returns the entry that the runner writes to the store, none while it has no power. */
    synchronized Optional<String> entry() {
        if (mDark) {
            return Optional.empty();
        }
        return Optional.of(
                Json.write(
                Json.of(
                        "service",
                        mServiceName,
                        "address",
                        mAddress,
                        "zone",
                        mZone,
                        "version",
                        "v1",
                        "slots",
                        SLOTS,
                        "state",
                        "ready",
                        "cold_left_ms",
                        0,
                        "capacity",
                        Json.of("cpu", CAPACITY_CPU, "mem_mb", 65_536, "gpu", 0),
                        "labels",
                        List.of(mKind, "r1-1"),
                        "born",
                        mBornMillis,
                        "clock_ms",
                        clock(),
                        "seq",
                        ++mSequence)));
    }

    private long clock() {
        return (System.nanoTime() - mBornNanos) / 1_000_000;
    }

    private synchronized HttpService.Answer handle(HttpService.Request request)
            throws InterruptedException {
        if (request.isOfEarlierLife()) {
            return null;
        }
        if (request.path().equals("/healthz")) {
            return answer(200);
        }
        if (!mId.equals(request.header("X-Wagtailproxy-Expected-Instance"))) {
            return answer(421);
        }
        Map<String, Object> body = request.body();
        long token = Json.number(body, "fencing_token");
        if (token < mToken) {
            return refusal("fence");
        }
        mToken = token;
        return switch (request.path()) {
            case "/-/run-start" -> start(body);
            case "/-/run-stop" -> stop(body);
            case "/-/hold" -> hold(body, request);
            default -> answer(404);
        };
    }

    private HttpService.Answer start(Map<String, Object> body) {
        String task = (String) body.get("task");
        long attempt = Json.number(body, "attempt");
        String spec = (String) body.getOrDefault("spec", "");
        if (Json.number(body, "deadline_ms") <= clock()) {
            return refusal("late");
        }
        Active active = mRunning.get(task);
        boolean isSame = active != null && active.mRun.mAttempt == attempt;
        extendLease(body);
        if (isSame) {
            return answer(200);
        }
        if (active != null || attempt <= mHighestOver.getOrDefault(task, 0L)) {
            return refusal("old");
        }
        long cpu = number(spec, "cpu", 14_000);
        long used = mRunning.values().stream().mapToLong(each -> each.mCpu).sum();
        if (used + cpu > CAPACITY_CPU || mRunning.size() >= SLOTS) {
            return refusal("room");
        }
        boolean fails = mWitness.count(task, "failed") < number(spec, "fail", 0);
        Witness.Run run = mWitness.start(task, attempt, mId);
        mRunning.put(task, new Active(run, cpu, clock(), number(spec, "ms", 100), fails));
        notifyAll();
        return answer(200);
    }

    private HttpService.Answer stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long attempt = Json.number(body, "attempt");
        mHighestOver.merge(task, attempt, Math::max);
        Active active = mRunning.get(task);
        if (active != null && active.mRun.mAttempt <= attempt) {
            active.mStopClock = Math.min(active.mStopClock, clock() + STOP_MILLIS);
            notifyAll();
        }
        return answer(200);
    }

    private HttpService.Answer hold(Map<String, Object> body, HttpService.Request request)
            throws InterruptedException {
        extendLease(body);
        long lastSeen = Json.number(body, "last_seen");
        for (End end : mEnds) {
            // An end is not taken note of if the lease has lapsed since.
            if (end.number() <= lastSeen && mLapsedClock <= end.clock()) {
                mWitness.takeNote(end.run(), lastSeen);
            }
        }
        mEnds.removeIf(end -> end.number() <= lastSeen);
        long endNanos = System.nanoTime() + Json.number(body, "wait_ms") * 1_000_000;
        while (mEnds.isEmpty() && System.nanoTime() < endNanos) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
            if (request.isOfEarlierLife()) {
                return null;
            }
        }
        Map<String, Object> answer = Json.of("clock_ms", clock(), "born", mBornMillis);
        List<Object> running = new ArrayList<>();
        for (Active each : mRunning.values()) {
            long percent = Math.min(99, 100 * (clock() - each.mStartClock) / each.mMillis);
            running.add(
                    List.of(each.mRun.mTask, each.mRun.mAttempt, "", percent, each.mCpu));
        }
        answer.put("running", running);
        List<Object> ended = new ArrayList<>();
        for (End end : mEnds.subList(0, Math.min(LISTED_ENDS, mEnds.size()))) {
            Witness.Run run = end.run();
            ended.add(List.of(end.number(), run.mTask, run.mAttempt, run.mEnd, ""));
        }
        answer.put("ended", ended);
        return new HttpService.Answer(200, answer);
    }

    private void extendLease(Map<String, Object> body) {
        if (clock() >= mLeaseUntil) {
            mLapsedClock = clock();
        }
        long until = Math.min(Json.number(body, "deadline_ms"), clock() + MAX_HOLD_MILLIS);
        mLeaseUntil = Math.max(mLeaseUntil, until);
    }

    /** Ends the runs that are over, stopped or without a lease. */
    private synchronized void work() {
        try {
            while (true) {
                long clock = clock();
                for (Active each : List.copyOf(mRunning.values())) {
                    if (clock >= mLeaseUntil) {
                        end(each, "lapsed");
                    } else if (clock >= each.mStopClock) {
                        end(each, "stopped");
                    } else if (clock >= each.mStartClock + each.mMillis) {
                        end(each, each.mFails ? "failed" : "done");
                    }
                }
                wait(mRunning.isEmpty() ? 0 : 2);
            }
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
    }

    private void end(Active active, String how) {
        Witness.Run run = active.mRun;
        mRunning.remove(run.mTask);
        mHighestOver.merge(run.mTask, run.mAttempt, Math::max);
        mWitness.end(run, how);
        mEnds.add(new End(mNextEnd++, run, clock()));
        notifyAll();
    }

    private HttpService.Answer answer(int status) {
        return new HttpService.Answer(
                status, Json.of("clock_ms", clock(), "born", mBornMillis));
    }

    private HttpService.Answer refusal(String reason) {
        return new HttpService.Answer(
                409, Json.of("clock_ms", clock(), "born", mBornMillis, "reason", reason));
    }

    private static long number(String spec, String name, long defaultValue) {
        for (String word : spec.split(" ")) {
            if (word.startsWith(name + "=")) {
                return Long.parseLong(word.substring(name.length() + 1));
            }
        }
        return defaultValue;
    }
}
