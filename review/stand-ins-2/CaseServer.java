package org.wagtailproxy.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.adapter.http.HttpServer;
import org.wagtailproxy.adapter.http.HttpServer.Exchange;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.identity.HostAddress;

/**
 * Stands in for a backend server of the review's cases, as PROTOCOL.md describes it: runs hold a
 * lease on the server's own clock, ends are listed until they are acknowledged, and orders with an
 * outdated fencing token or attempt are rejected. Reports every start and end to a record.
 *
 * <p>The spec of a task may set how long it runs, as {@code ms=200}. Confined to its event loop.
 */
final class CaseServer {

    static final int CPU = 32_000;
    static final int SLOTS = 8;
    private static final long MAX_HOLD_MILLIS = 1000;
    private static final long STOP_MILLIS = 30;
    private static final int MAX_LISTED_ENDS = 500;
    private static final long DEFAULT_TASK_MILLIS = 100;

    /** Receives what a backend server sees. */
    interface Record {
        void started(String server, String task, int attempt, String spec);

        void ended(String server, String task, int attempt, String how);

        /** The end of a run has been acknowledged, while the server's lease had not lapsed. */
        void noted(String server, String task, int attempt, String how);
    }

    private record Run(String task, int attempt, long startMillis, long lengthMillis) {

        private long percent(long nowMillis) {
            return Math.min(99, 100 * (nowMillis - startMillis) / Math.max(1, lengthMillis));
        }
    }

    private record End(long number, Run run, String how, long clockMillis) {}

    private final String mId;
    private final HostAddress mAddress;
    private final EventLoopGroup mGroup;
    private final Record mRecord;
    private long mBornNanos = System.nanoTime();
    private long mBornMillis = System.currentTimeMillis();
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mHighestEnded = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private final List<Exchange> mWaiting = new ArrayList<>();
    private long mNextEnd = 1;
    private long mToken;
    private long mLeaseMillis;
    private long mLapsedMillis = -1;
    private long mSequence;
    private volatile double mSlowness = 1;
    private volatile String mKind = "a";
    private volatile HttpServer mHttpServer;
    private int mLife;

    CaseServer(String id, HostAddress address, EventLoopGroup group, Record record) {
        mId = id;
        mAddress = address;
        mGroup = group;
        mRecord = record;
        mHttpServer = HttpServer.start(address, group, 1 << 20, this::handle);
    }

    /** Sets the kind of this life, which is a label. */
    CaseServer ofKind(String kind) {
        mKind = kind;
        return this;
    }

    String kind() {
        return mKind;
    }

    boolean isUp() {
        return mHttpServer != null;
    }

    /** Ends everything that runs and closes the port, as a crash of the process does. */
    void crash() {
        onLoop(
                () -> {
                    mHttpServer.close();
                    mHttpServer = null;
                    mLife++;
                    List.copyOf(mRunning.values())
                            .forEach(
                                    run ->
                                            mRecord.ended(
                                                    mId, run.task(), run.attempt(), "crashed"));
                    mRunning.clear();
                    mHighestEnded.clear();
                    mEnds.clear();
                    mWaiting.clear();
                    mNextEnd = 1;
                    mToken = 0;
                    mLeaseMillis = 0;
                    mLapsedMillis = -1;
                });
    }

    /** Starts a new life under the same id and address that knows nothing of before. */
    void restart(String kind) {
        onLoop(
                () -> {
                    mKind = kind;
                    mBornNanos = System.nanoTime();
                    mBornMillis = System.currentTimeMillis();
                });
        mHttpServer = HttpServer.start(mAddress, mGroup, 1 << 20, this::handle);
    }

    private void onLoop(Runnable work) {
        mGroup.next().submit(work).syncUninterruptibly();
    }

    /** Sets how many times as long the tasks take that start from now on. */
    void setSlowness(double slowness) {
        mSlowness = slowness;
    }

    String id() {
        return mId;
    }

    /** Returns what the server writes of itself to the store. */
    synchronized String entry(String service, String zone) {
        ObjectNode entry =
                Json.object()
                        .put("service", service)
                        .put("address", mAddress.toString())
                        .put("zone", zone)
                        .put("version", "v1")
                        .put("slots", SLOTS)
                        .put("state", "ready")
                        .put("cold_left_ms", 0)
                        .put("born", mBornMillis)
                        .put("seq", ++mSequence);
        entry.putObject("capacity").put("cpu", CPU).put("mem_mb", 65_536).put("gpu", 0);
        entry.putArray("labels").add(mKind).add("r1-1");
        return entry.toString();
    }

    private long clock() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mBornNanos);
    }

    private void later(long millis, Runnable work) {
        int life = mLife;
        mGroup.next()
                .schedule(
                        () -> {
                            if (life == mLife) {
                                work.run();
                            }
                        },
                        Math.max(0, millis),
                        TimeUnit.MILLISECONDS);
    }

    private void handle(Exchange exchange) {
        if (!mId.equals(exchange.header("X-Wagtailproxy-Expected-Instance"))) {
            exchange.respond(421, Json.bytes(answer()));
            return;
        }
        JsonNode body = Json.parse(exchange.body()).get();
        long token = body.path("fencing_token").asLong();
        if (token < mToken) {
            reject(exchange, "fence");
            return;
        }
        mToken = token;
        switch (exchange.path()) {
            case "/-/run-start" -> start(exchange, body);
            case "/-/run-stop" -> stop(exchange, body);
            case "/-/hold" -> hold(exchange, body);
            default -> exchange.respond(404, Json.bytes(answer()));
        }
    }

    private ObjectNode answer() {
        return Json.object().put("clock_ms", clock()).put("born", mBornMillis);
    }

    private void reject(Exchange exchange, String reason) {
        exchange.respond(409, Json.bytes(answer().put("reason", reason)));
    }

    private void extendLease(JsonNode body) {
        if (clock() >= mLeaseMillis) {
            mLapsedMillis = mLeaseMillis;
        }
        if (body.has("deadline_ms")) {
            long until = Math.min(body.path("deadline_ms").asLong(), clock() + MAX_HOLD_MILLIS);
            mLeaseMillis = Math.max(mLeaseMillis, until);
        }
    }

    private void checkLease() {
        if (mRunning.isEmpty()) {
            return;
        }
        long left = mLeaseMillis - clock();
        if (left > 0) {
            later(left + 1, this::checkLease);
            return;
        }
        List.copyOf(mRunning.values()).forEach(run -> end(run, "lapsed"));
    }

    private void start(Exchange exchange, JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        if (body.path("deadline_ms").asLong() <= clock()) {
            reject(exchange, "late");
            return;
        }
        Run active = mRunning.get(task);
        if (active != null && active.attempt() == attempt) {
            extendLease(body);
            exchange.respond(200, Json.bytes(answer()));
            return;
        }
        if (mHighestEnded.getOrDefault(task, 0) >= attempt
                || active != null && active.attempt() > attempt) {
            extendLease(body);
            reject(exchange, "old");
            return;
        }
        if (mRunning.size() >= SLOTS) {
            extendLease(body);
            reject(exchange, "room");
            return;
        }
        if (active != null) {
            end(active, "stopped");
        }
        String spec = body.path("spec").asText();
        Run run = new Run(task, attempt, clock(), Math.round(mSlowness * millis(spec)));
        boolean wasIdle = mRunning.isEmpty();
        mRunning.put(task, run);
        extendLease(body);
        mRecord.started(mId, task, attempt, spec);
        if (wasIdle) {
            checkLease();
        }
        later(
                run.lengthMillis(),
                () -> {
                    if (mRunning.get(task) == run) {
                        end(run, "done");
                    }
                });
        exchange.respond(200, Json.bytes(answer()));
    }

    private static long millis(String spec) {
        for (String word : spec.split(" ")) {
            if (word.startsWith("ms=")) {
                return Long.parseLong(word.substring(3));
            }
        }
        return DEFAULT_TASK_MILLIS;
    }

    private void stop(Exchange exchange, JsonNode body) {
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        mHighestEnded.merge(task, attempt, Math::max);
        Run active = mRunning.get(task);
        if (active != null && active.attempt() <= attempt) {
            later(
                    STOP_MILLIS,
                    () -> {
                        if (mRunning.get(task) == active) {
                            end(active, "stopped");
                        }
                    });
        }
        exchange.respond(200, Json.bytes(answer()));
    }

    private void end(Run run, String how) {
        mRunning.remove(run.task());
        mHighestEnded.merge(run.task(), run.attempt(), Math::max);
        mEnds.add(new End(mNextEnd++, run, how, clock()));
        mRecord.ended(mId, run.task(), run.attempt(), how);
        List<Exchange> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(this::answerHold);
    }

    private void hold(Exchange exchange, JsonNode body) {
        extendLease(body);
        long seen = body.path("last_seen").asLong();
        for (End end : mEnds) {
            if (end.number() <= seen && mLapsedMillis < end.clockMillis()) {
                mRecord.noted(mId, end.run().task(), end.run().attempt(), end.how());
            }
        }
        mEnds.removeIf(end -> end.number() <= seen);
        long wait = body.path("wait_ms").asLong();
        if (!mEnds.isEmpty() || wait == 0) {
            answerHold(exchange);
            return;
        }
        mWaiting.add(exchange);
        later(
                wait,
                () -> {
                    if (mWaiting.remove(exchange)) {
                        answerHold(exchange);
                    }
                });
    }

    private void answerHold(Exchange exchange) {
        ObjectNode answer = answer();
        ArrayNode running = answer.putArray("running");
        for (Run run : mRunning.values()) {
            running.addArray()
                    .add(run.task())
                    .add(run.attempt())
                    .add("")
                    .add(run.percent(clock()))
                    .add(0);
        }
        ArrayNode ended = answer.putArray("ended");
        mEnds.stream()
                .limit(MAX_LISTED_ENDS)
                .forEach(
                        end ->
                                ended.addArray()
                                        .add(end.number())
                                        .add(end.run().task())
                                        .add(end.run().attempt())
                                        .add(end.how())
                                        .add(""));
        exchange.respond(200, Json.bytes(answer));
    }
}
