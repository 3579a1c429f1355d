package org.wagtailproxy.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.adapter.http.HttpServer;
import org.wagtailproxy.adapter.http.HttpServer.Exchange;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.identity.HostAddress;

/**
 * A sound runner as the pages describe it: runs hold a lease, ends are listed until last_seen
 * reaches them, lower fencing tokens and attempts are rejected. It guards its capacity.
 *
 * <p>The spec of a task says how long it runs, as {@code ms=300}; {@code ms=0} runs until it is
 * stopped. Confined to one event loop, apart from the methods that say otherwise.
 */
final class ReviewRunner {

    private static final long MAX_HOLD_MILLIS = 1000;
    private static final long STOP_MILLIS = 20;
    private static final int MAX_LISTED_ENDS = 500;

    private final String mId;
    private final String mZone;
    private final HostAddress mAddress;
    private final EventLoopGroup mGroup;
    private final ReviewRecord mRecord;
    private volatile String mKind;
    private final String mRack;
    private volatile int mCpuMillis = 32_000;
    private volatile Life mLife;
    private volatile boolean mUp;
    private volatile boolean mDraining;
    private HttpServer mServer;
    private long mSequence;

    ReviewRunner(
            String id,
            String zone,
            HostAddress address,
            String kind,
            String rack,
            EventLoopGroup group,
            ReviewRecord record) {
        mId = id;
        mZone = zone;
        mAddress = address;
        mKind = kind;
        mRack = rack;
        mGroup = group;
        mRecord = record;
        start();
    }

    String id() {
        return mId;
    }

    String zone() {
        return mZone;
    }

    HostAddress address() {
        return mAddress;
    }

    boolean isUp() {
        return mUp;
    }

    String kind() {
        return mKind;
    }

    /** Starts a life under the same id; may be called by any thread. */
    void start() {
        mLife = new Life();
        Life life = mLife;
        mServer = HttpServer.start(mAddress, mGroup, 1 << 20, life::handle);
        mUp = true;
        mRecord.write("runner " + mId + " starts as kind " + mKind + ", born " + life.mBornMillis);
    }

    /** Starts the next life as another kind; may be called by any thread. */
    void startAs(String kind) {
        mKind = kind;
        start();
    }

    /** Says from the next entry on that it is draining; goes on as before. */
    void drain() {
        mDraining = true;
    }

    /** Ends the life at once, with all that runs; may be called by any thread. */
    void crash() {
        mUp = false;
        mGroup.next()
                .submit(
                        () -> {
                            mServer.close();
                            mLife.end();
                        })
                .syncUninterruptibly();
        mRecord.write("runner " + mId + " crashes");
    }

    /** Returns the entry in the platform's store; may be called by any thread. */
    synchronized String entry(String service) {
        ObjectNode entry =
                Json.object()
                        .put("service", service)
                        .put("address", mAddress.toString())
                        .put("zone", mZone)
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", mDraining ? "draining" : "ready")
                        .put("cold_left_ms", 0)
                        .put("clock_ms", mLife.clockMillis())
                        .put("born", mLife.mBornMillis)
                        .put("seq", ++mSequence);
        entry.putObject("capacity").put("cpu", mCpuMillis).put("mem_mb", 65_536).put("gpu", 0);
        entry.putArray("labels").add(mKind).add(mRack);
        return entry.toString();
    }

    /** A task at work. */
    private static final class Active {
        private final ReviewRecord.Run mRun;
        private final int mCpuMillis;
        private final long mMillis;

        private Active(ReviewRecord.Run run, int cpuMillis, long millis) {
            mRun = run;
            mCpuMillis = cpuMillis;
            mMillis = millis;
        }
    }

    /** An end that is listed. */
    private record Listed(long number, ReviewRecord.Run run, String kind, long clockMillis) {}

    /** What the runner knows from its start to its exit. */
    private final class Life {
        private final long mBornNanos = System.nanoTime();
        private final long mBornMillis = System.currentTimeMillis();
        private final Map<String, Active> mRunning = new LinkedHashMap<>();
        private final Map<String, Integer> mHighestEnded = new HashMap<>();
        private final List<Listed> mEnds = new ArrayList<>();
        private final List<Exchange> mWaiting = new ArrayList<>();
        private long mNextEnd = 1;
        private long mToken;
        private long mLeaseUntilMillis;
        private long mLapsedMillis = -1;
        private boolean mOver;

        private long clockMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mBornNanos);
        }

        private void schedule(long millis, Runnable work) {
            mGroup.next()
                    .schedule(
                            () -> {
                                if (!mOver) {
                                    work.run();
                                }
                            },
                            millis,
                            TimeUnit.MILLISECONDS);
        }

        private void end() {
            mRunning.values().forEach(active -> mRecord.ended(active.mRun, "crashed"));
            mRunning.clear();
            mOver = true;
        }

        private void handle(Exchange exchange) {
            if (mOver) {
                return;
            }
            if (exchange.method().equals("GET")) {
                exchange.respond(200, new byte[0]);
                return;
            }
            if (!mId.equals(exchange.header("X-Wagtailproxy-Expected-Instance"))) {
                exchange.respond(421, Json.bytes(answer()));
                return;
            }
            JsonNode body = Json.parse(exchange.body()).get();
            long token = body.path("fencing_token").asLong();
            if (token < mToken) {
                exchange.respond(409, Json.bytes(answer().put("reason", "fence")));
                return;
            }
            mToken = token;
            switch (exchange.path()) {
                case "/-/run-start" -> start(exchange, body);
                case "/-/run-stop" -> stop(exchange, body);
                case "/-/hold" -> hold(exchange, body);
                default -> exchange.respond(404, new byte[0]);
            }
        }

        private void extendLease(JsonNode body) {
            if (clockMillis() >= mLeaseUntilMillis) {
                mLapsedMillis = mLeaseUntilMillis;
            }
            if (body.has("deadline_ms")) {
                long until =
                        Math.min(
                                body.path("deadline_ms").asLong(),
                                clockMillis() + MAX_HOLD_MILLIS);
                mLeaseUntilMillis = Math.max(mLeaseUntilMillis, until);
                checkLease();
            }
        }

        private void checkLease() {
            if (mRunning.isEmpty()) {
                return;
            }
            long leftMillis = mLeaseUntilMillis - clockMillis();
            if (leftMillis > 0) {
                schedule(leftMillis + 1, this::checkLease);
                return;
            }
            for (String task : List.copyOf(mRunning.keySet())) {
                endRun(task, "lapsed");
            }
        }

        private void start(Exchange exchange, JsonNode body) {
            String task = body.path("task").asText();
            int attempt = body.path("attempt").asInt();
            if (body.path("deadline_ms").asLong() <= clockMillis()) {
                refuse(exchange, "late");
                return;
            }
            Active active = mRunning.get(task);
            if (active != null && active.mRun.mAttempt == attempt) {
                extendLease(body);
                exchange.respond(200, Json.bytes(answer()));
                return;
            }
            boolean isOld =
                    mHighestEnded.getOrDefault(task, 0) >= attempt
                            || active != null && active.mRun.mAttempt > attempt;
            if (isOld) {
                extendLease(body);
                refuse(exchange, "old");
                return;
            }
            String spec = body.path("spec").asText();
            int cpuMillis = (int) number(spec, "cpu", 0);
            int used = mRunning.values().stream().mapToInt(each -> each.mCpuMillis).sum();
            if (used + cpuMillis > mCpuMillis) {
                extendLease(body);
                refuse(exchange, "room");
                return;
            }
            ReviewRecord.Run run =
                    mRecord.started(task, attempt, mId, mKind + "," + mRack, spec);
            long millis = number(spec, "ms", 100);
            mRunning.put(task, new Active(run, cpuMillis, millis));
            extendLease(body);
            if (millis > 0) {
                schedule(millis, () -> endRun(run, "done"));
            }
            exchange.respond(200, Json.bytes(answer()));
        }

        private void stop(Exchange exchange, JsonNode body) {
            String task = body.path("task").asText();
            int attempt = body.path("attempt").asInt();
            mHighestEnded.merge(task, attempt, Math::max);
            mRecord.write("stop of " + task + " " + attempt + " arrives at " + mId);
            exchange.respond(200, Json.bytes(answer()));
            Active active = mRunning.get(task);
            if (active != null && active.mRun.mAttempt <= attempt) {
                schedule(STOP_MILLIS, () -> endRun(active.mRun, "stopped"));
            }
        }

        private void endRun(ReviewRecord.Run run, String kind) {
            Active active = mRunning.get(run.mTask);
            if (active != null && active.mRun == run) {
                endRun(run.mTask, kind);
            }
        }

        private void endRun(String task, String kind) {
            ReviewRecord.Run run = mRunning.remove(task).mRun;
            mHighestEnded.merge(task, run.mAttempt, Math::max);
            mRecord.ended(run, kind);
            mEnds.add(new Listed(mNextEnd++, run, kind, clockMillis()));
            List<Exchange> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(this::list);
        }

        private void hold(Exchange exchange, JsonNode body) {
            extendLease(body);
            long lastSeen = body.path("last_seen").asLong();
            for (Iterator<Listed> ends = mEnds.iterator(); ends.hasNext(); ) {
                Listed end = ends.next();
                if (end.number() <= lastSeen) {
                    mRecord.noted(end.run(), mLapsedMillis >= end.clockMillis());
                    ends.remove();
                }
            }
            long waitMillis = body.path("wait_ms").asLong();
            if (!mEnds.isEmpty() || waitMillis == 0) {
                list(exchange);
                return;
            }
            mWaiting.add(exchange);
            schedule(
                    waitMillis,
                    () -> {
                        if (mWaiting.remove(exchange)) {
                            list(exchange);
                        }
                    });
        }

        private void list(Exchange exchange) {
            ObjectNode answer = answer();
            ArrayNode running = answer.putArray("running");
            mRunning.forEach((task, active) -> running.add(row(task, active)));
            ArrayNode ended = answer.putArray("ended");
            mEnds.stream()
                    .limit(MAX_LISTED_ENDS)
                    .forEach(
                            end ->
                                    ended.addArray()
                                            .add(end.number())
                                            .add(end.run().mTask)
                                            .add(end.run().mAttempt)
                                            .add(end.kind())
                                            .add(""));
            exchange.respond(200, Json.bytes(answer));
        }

        private ArrayNode row(String task, Active active) {
            long ran = mRecord.nowMillis() - active.mRun.mStartMillis;
            long percent = active.mMillis == 0 ? 100 : Math.min(99, 100 * ran / active.mMillis);
            return Json.object()
                    .putArray("row")
                    .add(task)
                    .add(active.mRun.mAttempt)
                    .add("")
                    .add(percent)
                    .add(active.mCpuMillis);
        }

        private void refuse(Exchange exchange, String reason) {
            exchange.respond(409, Json.bytes(answer().put("reason", reason)));
        }

        private ObjectNode answer() {
            return Json.object().put("clock_ms", clockMillis()).put("born", mBornMillis);
        }
    }

    private static long number(String spec, String name, long missing) {
        for (String word : spec.split(" ")) {
            if (word.startsWith(name + "=")) {
                return Long.parseLong(word.substring(name.length() + 1));
            }
        }
        return missing;
    }
}
