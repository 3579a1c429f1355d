package review4;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stands in for a runner that guards its capacity, after the page on running tasks. The payload of a
 * job gives the length and the demand of its tasks, as {@code ms=2000 cpu=14000}; a task of 0 ms
 * runs until it is stopped or made to fail. A task begins 100 ms after its order.
 */
final class Runner {

    private static final int CAPACITY_CPU = 32_000;
    private static final int STOP_MILLIS = 40;
    private static final int MAX_HOLD_MILLIS = 1000;
    static final int STARTUP_MILLIS = 100;
    private static final int BEAT_MILLIS = 1500;

    /** Is told of every beginning and end of a run. */
    interface Listener {
        void began(Runner runner, String task, int attempt);

        void ended(Runner runner, String task, int attempt, String how);
    }

    private static final class Run {
        private final String mTask;
        private final int mAttempt;
        private final long mCpu;
        private final long mMillis;
        private final long mBeganNanos = System.nanoTime();
        private long mStopNanos;

        private Run(String task, int attempt, long cpu, long millis) {
            mTask = task;
            mAttempt = attempt;
            mCpu = cpu;
            mMillis = millis;
        }
    }

    private record End(long number, String task, int attempt, String how) {}

    private final String mId;
    private final String mService;
    private final String mZone;
    private final String mLabel;
    private final Store mStore;
    private final Listener mListener;
    private final HttpServer mServer;
    private final long mBorn = System.currentTimeMillis();
    private final long mClockStartNanos = System.nanoTime() - 5_000_000_000L;
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mHighest = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private long mNextEnd = 1;
    private long mToken;
    private long mDeadlineMillis;
    private String mState = "ready";
    private long mSequence;
    private boolean mGone;
    private long mNextBeatNanos;
    private long mLastSeen;

    Runner(String id, String service, String zone, String label, Store store, Listener listener)
            throws Exception {
        mId = id;
        mService = service;
        mZone = zone;
        mLabel = label;
        mStore = store;
        mListener = listener;
        mServer = Web.serve("127.0.0.1", 0, this::handle);
        Thread worker = new Thread(this::work);
        worker.setDaemon(true);
        worker.start();
    }

    String id() {
        return mId;
    }

    String service() {
        return mService;
    }

    synchronized long freeCpu() {
        return mGone || !mState.equals("ready")
                ? 0
                : CAPACITY_CPU - mRunning.values().stream().mapToLong(run -> run.mCpu).sum();
    }

    static long capacityCpu() {
        return CAPACITY_CPU;
    }

    synchronized List<String> running() {
        return List.copyOf(mRunning.keySet());
    }

    synchronized int listedEnds() {
        return mEnds.size();
    }

    /** Returns the number of the last end that was taken note of. */
    synchronized long lastSeen() {
        return mLastSeen;
    }

    /** The run of a task ends as failed, as it may at any time. */
    synchronized void fail(String task) {
        Run run = mRunning.get(task);
        if (run != null) {
            end(run, "failed");
        }
    }

    /** Reports that the runner drains. */
    synchronized void drain() {
        mState = "draining";
        mNextBeatNanos = 0;
    }

    /** The runner leaves: what runs there ends, and its entry is removed. */
    synchronized void leave() {
        mGone = true;
        for (Run run : List.copyOf(mRunning.values())) {
            end(run, "stopped");
        }
        mStore.delete("servers/" + mId);
        mServer.stop(0);
        notifyAll();
    }

    private void work() {
        while (true) {
            synchronized (this) {
                if (mGone) {
                    return;
                }
                long nowNanos = System.nanoTime();
                if (nowNanos - mNextBeatNanos >= 0) {
                    mNextBeatNanos = nowNanos + BEAT_MILLIS * 1_000_000L;
                    mStore.put("servers/" + mId, entry());
                }
                for (Run run : List.copyOf(mRunning.values())) {
                    long ranMillis = (nowNanos - run.mBeganNanos) / 1_000_000;
                    if (clockMillis() > mDeadlineMillis) {
                        end(run, "lapsed");
                    } else if (run.mStopNanos != 0 && nowNanos - run.mStopNanos >= 0) {
                        end(run, "stopped");
                    } else if (run.mMillis > 0 && ranMillis >= STARTUP_MILLIS + run.mMillis) {
                        end(run, "done");
                    }
                }
            }
            Clock.sleep(2);
        }
    }

    private String entry() {
        return "{\"service\":\"" + mService + "\",\"address\":\"127.0.0.1:"
                + mServer.getAddress().getPort() + "\",\"zone\":\"" + mZone
                + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + mState
                + "\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":" + CAPACITY_CPU
                + ",\"mem_mb\":131072,\"gpu\":0},\"labels\":[\"" + mLabel + "\",\"r1-1\"],"
                + (mState.equals("draining") ? "\"remaining_ms\":2000," : "")
                + "\"born\":" + mBorn + ",\"clock_ms\":" + clockMillis() + ",\"seq\":" + ++mSequence + "}";
    }

    private long clockMillis() {
        return (System.nanoTime() - mClockStartNanos) / 1_000_000;
    }

    private ObjectNode said() {
        return Web.JSON.createObjectNode().put("clock_ms", clockMillis()).put("born", mBorn);
    }

    private void end(Run run, String how) {
        mRunning.remove(run.mTask);
        mEnds.add(new End(mNextEnd++, run.mTask, run.mAttempt, how));
        mListener.ended(this, run.mTask, run.mAttempt, how);
        notifyAll();
    }

    private synchronized Web.Answer handle(Web.Request request) throws Exception {
        if (mGone) {
            return null;
        }
        if (!mId.equals(request.instance())) {
            return new Web.Answer(421, said().toString());
        }
        JsonNode body = request.body();
        long token = body.path("fencing_token").asLong();
        if (token < mToken) {
            return conflict("fence");
        }
        mToken = token;
        return switch (request.path()) {
            case "/-/run-start" -> start(body);
            case "/-/run-stop" -> stop(body);
            case "/-/hold" -> hold(body);
            default -> new Web.Answer(404, "");
        };
    }

    private Web.Answer conflict(String reason) {
        return new Web.Answer(409, said().put("reason", reason).toString());
    }

    private void extend(JsonNode body) {
        if (body.has("deadline_ms")) {
            long until = Math.min(body.path("deadline_ms").asLong(), clockMillis() + MAX_HOLD_MILLIS);
            mDeadlineMillis = Math.max(mDeadlineMillis, until);
        }
    }

    private Web.Answer start(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Run running = mRunning.get(task);
        if (running != null && running.mAttempt == attempt) {
            extend(body);
            return new Web.Answer(200, said().toString());
        }
        if (body.path("deadline_ms").asLong() <= clockMillis()) {
            return conflict("late");
        }
        extend(body);
        if (running != null || mHighest.getOrDefault(task, 0) >= attempt) {
            return conflict("old");
        }
        String spec = body.path("spec").asText();
        long cpu = value(spec, "cpu");
        if (cpu > freeCpu() && !mState.equals("draining")) {
            return conflict("room");
        }
        mRunning.put(task, new Run(task, attempt, cpu, value(spec, "ms")));
        mListener.began(this, task, attempt);
        return new Web.Answer(200, said().toString());
    }

    private static long value(String spec, String name) {
        for (String word : spec.split(" ")) {
            if (word.startsWith(name + "=")) {
                return Long.parseLong(word.substring(name.length() + 1));
            }
        }
        return 0;
    }

    private Web.Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        mHighest.merge(task, attempt, Math::max);
        Run run = mRunning.get(task);
        if (run != null && run.mAttempt <= attempt && run.mStopNanos == 0) {
            run.mStopNanos = System.nanoTime() + STOP_MILLIS * 1_000_000L;
        }
        return new Web.Answer(200, said().toString());
    }

    private Web.Answer hold(JsonNode body) throws InterruptedException {
        extend(body);
        long lastSeen = body.path("last_seen").asLong();
        mLastSeen = Math.max(mLastSeen, lastSeen);
        mEnds.removeIf(end -> end.number() <= lastSeen);
        long untilNanos =
                System.nanoTime() + Math.min(2000, body.path("wait_ms").asLong()) * 1_000_000;
        while (mEnds.isEmpty() && !mGone && System.nanoTime() - untilNanos < 0) {
            wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
        }
        ObjectNode answer = said();
        ArrayNode running = answer.putArray("running");
        for (Run run : mRunning.values()) {
            long ranMillis = (System.nanoTime() - run.mBeganNanos) / 1_000_000 - STARTUP_MILLIS;
            long percent =
                    ranMillis < 0 ? 0 : run.mMillis == 0 ? 100 : Math.min(99, 100 * ranMillis / run.mMillis);
            running.addArray().add(run.mTask).add(run.mAttempt).add("").add(percent).add(run.mCpu);
        }
        ArrayNode ended = answer.putArray("ended");
        for (End end : mEnds.subList(0, Math.min(500, mEnds.size()))) {
            ended.addArray().add(end.number()).add(end.task()).add(end.attempt()).add(end.how()).add("");
        }
        return new Web.Answer(200, answer.toString());
    }
}
