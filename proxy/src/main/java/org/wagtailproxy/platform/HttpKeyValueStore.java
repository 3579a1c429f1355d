package org.wagtailproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.failure.Failure;

/** Calls the key-value service by the JSON form of the etcd version 3 protocol. */
public final class HttpKeyValueStore implements KeyValueStore {

    private final PlatformHttpClient mHttp;

    private HttpKeyValueStore(PlatformHttpClient http) {
        mHttp = http;
    }

    /**
     * Creates a client.
     *
     * @param http calls the service, not null
     * @return the client, never null
     */
    public static HttpKeyValueStore of(PlatformHttpClient http) {
        return new HttpKeyValueStore(Objects.requireNonNull(http, "http"));
    }

    @Override
    public Either<Failure, StoreRange> range(String prefix, long afterRevision) {
        ObjectNode request = Json.object();
        request.put("key", encode(prefix));
        request.put("range_end", encode(rangeEnd(prefix)));
        if (afterRevision > 0) {
            request.put("min_mod_revision", Long.toString(afterRevision + 1));
        }
        return mHttp.post("/v3/kv/range", "range", request).map(HttpKeyValueStore::range);
    }

    @Override
    public Either<Failure, StoreRange> read(String key) {
        ObjectNode request = Json.object();
        request.put("key", encode(key));
        return mHttp.post("/v3/kv/range", "read", request).map(HttpKeyValueStore::range);
    }

    @Override
    public Either<Failure, StoreWrite> compareAndPut(
            String key, long expectedRevision, String value, long leaseId) {
        ObjectNode request = Json.object();
        ObjectNode compare = request.putArray("compare").addObject();
        compare.put("key", encode(key));
        compare.put("target", "MOD");
        compare.put("result", "EQUAL");
        compare.put("mod_revision", Long.toString(expectedRevision));
        ObjectNode put = request.putArray("success").addObject().putObject("request_put");
        put.put("key", encode(key));
        put.put("value", encode(value));
        if (leaseId != 0) {
            put.put("lease", Long.toString(leaseId));
        }
        ObjectNode read = request.putArray("failure").addObject().putObject("request_range");
        read.put("key", encode(key));
        return mHttp.post("/v3/kv/txn", "write", request).map(HttpKeyValueStore::write);
    }

    @Override
    public Either<Failure, Long> grantLease(long seconds) {
        ObjectNode request = Json.object();
        request.put("TTL", Long.toString(seconds));
        return mHttp.post("/v3/lease/grant", "lease", request)
                .map(node -> node.path("ID").asLong());
    }

    private static StoreWrite write(JsonNode node) {
        long revision = node.path("header").path("revision").asLong();
        if (node.path("succeeded").asBoolean(false)) {
            return new StoreWrite(true, revision, Option.none());
        }
        List<StoreEntry> current = entries(node.path("responses").path(0).path("response_range"));
        Option<StoreEntry> first = current.isEmpty() ? Option.none() : Option.some(current.get(0));
        return new StoreWrite(false, revision, first);
    }

    private static StoreRange range(JsonNode node) {
        return new StoreRange(node.path("header").path("revision").asLong(), entries(node));
    }

    private static List<StoreEntry> entries(JsonNode node) {
        List<StoreEntry> entries = new ArrayList<>();
        for (JsonNode each : node.path("kvs")) {
            entries.add(
                    new StoreEntry(
                            decode(each.path("key").asText()),
                            decode(each.path("value").asText()),
                            each.path("mod_revision").asLong()));
        }
        return entries;
    }

    private static String rangeEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String text) {
        return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
    }
}
