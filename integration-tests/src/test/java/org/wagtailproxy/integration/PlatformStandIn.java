package org.wagtailproxy.integration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands in for the platform: a key-value store and an instance list, with faults on demand.
 *
 * <p>Keys and values are base 64. A transaction compares the revision of one key and writes it.
 */
final class PlatformStandIn implements Closeable {

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final TreeMap<String, StoredValue> mStoredValues = new TreeMap<>();
    private final TreeMap<String, ListedInstance> mListedInstances = new TreeMap<>();
    private final AtomicLong mCalls = new AtomicLong();
    private final AtomicInteger mAnswersToLose = new AtomicInteger();
    private TreeMap<String, StoredValue> mStaleValues;
    private long mStaleRevision;
    private long mRevision = 1;
    private long mListVersion = 1;
    private byte[] mFrozenList;
    private volatile boolean mDown;

    PlatformStandIn(String host, int port) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(host, port), 0);
        mServer.setExecutor(mThreads);
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    /** Sets whether every call fails with status 503. */
    void setDown(boolean down) {
        mDown = down;
    }

    /** Applies the next transactions but closes their connections without an answer. */
    void loseWriteAnswers(int writes) {
        mAnswersToLose.set(writes);
    }

    /** Sets whether reads are served from a copy of the present state. */
    synchronized void setStaleReads(boolean readStale) {
        mStaleValues = readStale ? new TreeMap<>(mStoredValues) : null;
        mStaleRevision = mRevision;
    }

    /** Sets whether the instance list stays as it is now, regardless of later changes. */
    synchronized void setListFrozen(boolean frozen) throws IOException {
        mFrozenList = frozen ? instanceList() : null;
    }

    synchronized void putInstance(
            String service,
            String host,
            int port,
            String dataCentre,
            int slots,
            boolean terminating) {
        mListedInstances.put(
                host + ":" + port,
                new ListedInstance(service, host, port, dataCentre, slots, terminating));
        mListVersion++;
    }

    synchronized void removeInstance(String address) {
        mListedInstances.remove(address);
        mListVersion++;
    }

    synchronized Map<String, Long> revisions(String prefix) {
        Map<String, Long> revisions = new TreeMap<>();
        mStoredValues.forEach(
                (key, entry) -> {
                    if (key.startsWith(prefix)) {
                        revisions.put(key, entry.revision());
                    }
                });
        return revisions;
    }

    long callCount() {
        return mCalls.get();
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        mCalls.incrementAndGet();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (mDown) {
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
            return;
        }
        String path = exchange.getRequestURI().getPath();
        byte[] answer = execute(path, body);
        boolean lost =
                path.equals("/v3/kv/txn")
                        && mAnswersToLose.getAndUpdate(n -> n > 0 ? n - 1 : 0) > 0;
        if (lost) {
            exchange.close();
            return;
        }
        exchange.sendResponseHeaders(200, answer.length);
        exchange.getResponseBody().write(answer);
        exchange.close();
    }

    private synchronized byte[] execute(String path, byte[] body) throws IOException {
        if (path.endsWith("/endpointslices")) {
            return mFrozenList != null ? mFrozenList : instanceList();
        }
        JsonNode request = MAPPER.readTree(body);
        ObjectNode answer =
                switch (path) {
                    case "/v3/kv/range" -> range(request);
                    case "/v3/kv/txn" -> transaction(request);
                    case "/v3/lease/grant" -> MAPPER.createObjectNode().put("ID", "77");
                    default -> MAPPER.createObjectNode();
                };
        return MAPPER.writeValueAsBytes(answer);
    }

    private ObjectNode range(JsonNode request) {
        boolean readStale = mStaleValues != null;
        return range(
                readStale ? mStaleValues : mStoredValues,
                readStale ? mStaleRevision : mRevision,
                request);
    }

    private static ObjectNode range(
            TreeMap<String, StoredValue> entries, long revision, JsonNode request) {
        ObjectNode answer = MAPPER.createObjectNode();
        answer.putObject("header").put("revision", Long.toString(revision));
        ArrayNode items = answer.putArray("kvs");
        String key = decode(request.path("key").asText());
        String end =
                request.has("range_end") ? decode(request.path("range_end").asText()) : key + '\0';
        long minRevision = request.path("min_mod_revision").asLong(0);
        entries.subMap(key, end)
                .forEach(
                        (entryKey, entry) -> {
                            if (entry.revision() >= minRevision) {
                                items.addObject()
                                        .put("key", encode(entryKey))
                                        .put("value", entry.value())
                                        .put("mod_revision", Long.toString(entry.revision()));
                            }
                        });
        return answer;
    }

    private ObjectNode transaction(JsonNode request) {
        JsonNode compare = request.path("compare").path(0);
        String key = decode(compare.path("key").asText());
        StoredValue current = mStoredValues.get(key);
        long revision = current == null ? 0 : current.revision();
        ObjectNode answer = MAPPER.createObjectNode();
        if (revision != compare.path("mod_revision").asLong()) {
            answer.putObject("header").put("revision", Long.toString(mRevision));
            answer.put("succeeded", false);
            JsonNode read = request.path("failure").path(0).path("request_range");
            answer.putArray("responses")
                    .addObject()
                    .set("response_range", range(mStoredValues, mRevision, read));
            return answer;
        }
        mRevision++;
        JsonNode put = request.path("success").path(0).path("request_put");
        mStoredValues.put(key, new StoredValue(put.path("value").asText(), mRevision));
        answer.putObject("header").put("revision", Long.toString(mRevision));
        answer.put("succeeded", true);
        return answer;
    }

    private byte[] instanceList() throws IOException {
        ObjectNode answer = MAPPER.createObjectNode();
        answer.putObject("metadata").put("resourceVersion", Long.toString(mListVersion));
        ArrayNode items = answer.putArray("items");
        for (ListedInstance instance : mListedInstances.values()) {
            ObjectNode item = items.addObject();
            item.putObject("metadata")
                    .putObject("labels")
                    .put("kubernetes.io/service-name", instance.service())
                    .put("wagtailproxy/slots", Integer.toString(instance.slots()));
            item.putArray("ports").addObject().put("port", instance.port());
            ObjectNode endpoint = item.putArray("endpoints").addObject();
            endpoint.putArray("addresses").add(instance.host());
            endpoint.put("zone", instance.dataCentre());
            endpoint.putObject("conditions")
                    .put("ready", !instance.terminating())
                    .put("terminating", instance.terminating());
        }
        return MAPPER.writeValueAsBytes(answer);
    }

    private static String decode(String text) {
        return new String(Base64.getDecoder().decode(text));
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes());
    }

    /** Represents a value in base 64, with the revision that wrote it. */
    private record StoredValue(String value, long revision) {}

    /** Represents an entry instance or a backend server in the instance list. */
    private record ListedInstance(
            String service,
            String host,
            int port,
            String dataCentre,
            int slots,
            boolean terminating) {}
}
