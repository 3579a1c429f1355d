package review4;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stands in for the platform's store, after the page on what is spoken with it. */
final class Store {

    private static final int ANSWER_MILLIS = 4;
    private static final int PAGE_ITEMS = 500;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item) {}

    private static final class Lease {
        private long mTtlMillis;
        private long mEndNanos;
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final HttpServer mServer;
    private long mRevision = 100;
    private long mNextLease = 1;

    Store() throws Exception {
        mServer = Web.serve("127.0.0.1", 0, this::handle);
        Thread sweeper =
                new Thread(
                        () -> {
                            while (true) {
                                endLeases();
                                Clock.sleep(50);
                            }
                        });
        sweeper.setDaemon(true);
        sweeper.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Writes on behalf of the operator or a runner. */
    synchronized void put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        remove(key);
        notifyAll();
    }

    private synchronized void endLeases() {
        mLeases.values().removeIf(lease -> System.nanoTime() - lease.mEndNanos > 0);
        for (Item item : List.copyOf(mItems.values())) {
            if (item.lease() != 0 && !mLeases.containsKey(item.lease())) {
                remove(item.key());
            }
        }
        notifyAll();
    }

    private Web.Answer handle(Web.Request request) throws Exception {
        Clock.sleep(ANSWER_MILLIS);
        String path = request.path();
        if (path.equals("/-/kv-watch")) {
            return watch(request);
        }
        synchronized (this) {
            if (path.equals("/-/kv-range")) {
                return range(request);
            }
            if (path.equals("/-/kv-key")) {
                Item item = mItems.get(request.query().get("key"));
                return item == null
                        ? new Web.Answer(404, "")
                        : answer(document(item).put("read_rev", mRevision));
            }
            if (path.equals("/-/kv-txn")) {
                return transact(request.body());
            }
            if (path.equals("/-/kv-lease")) {
                Lease lease = new Lease();
                lease.mTtlMillis = request.body().path("ttl_ms").asLong();
                mLeases.put(mNextLease, lease);
                return renew(mNextLease++);
            }
            long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            if (!mLeases.containsKey(id)) {
                return new Web.Answer(404, "");
            }
            if (path.startsWith("/-/kv-keep/")) {
                return renew(id);
            }
            mLeases.remove(id);
            endLeases();
            return new Web.Answer(200, "{}");
        }
    }

    private Web.Answer renew(long id) {
        Lease lease = mLeases.get(id);
        lease.mEndNanos = System.nanoTime() + lease.mTtlMillis * 1_000_000;
        return answer(Web.JSON.createObjectNode().put("lease", id).put("ttl_ms", lease.mTtlMillis));
    }

    private Web.Answer range(Web.Request request) {
        String prefix = request.query().getOrDefault("prefix", "");
        String after = request.query().getOrDefault("after", "");
        ObjectNode body = Web.JSON.createObjectNode();
        ArrayNode items = body.putArray("items");
        boolean more = false;
        for (Item item : mItems.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                if (items.size() >= PAGE_ITEMS) {
                    more = true;
                    break;
                }
                items.add(document(item));
            }
        }
        return answer(body.put("has_more", more).put("read_rev", mRevision));
    }

    private Web.Answer watch(Web.Request request) throws InterruptedException {
        String prefix = request.query().getOrDefault("prefix", "");
        long after = Long.parseLong(request.query().get("after"));
        long endNanos =
                System.nanoTime() + Long.parseLong(request.query().get("wait_ms")) * 1_000_000;
        synchronized (this) {
            while (true) {
                ArrayNode events = Web.JSON.createArrayNode();
                for (Event event : mHistory) {
                    if (event.revision() > after && event.key().startsWith(prefix)) {
                        events.add(
                                event.item() != null
                                        ? document(event.item())
                                        : Web.JSON.createObjectNode()
                                                .put("key", event.key())
                                                .put("revision", event.revision())
                                                .put("deleted", true));
                    }
                }
                long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || leftMillis <= 0) {
                    ObjectNode body = Web.JSON.createObjectNode();
                    body.set("events", events);
                    return answer(body.put("read_rev", mRevision));
                }
                wait(leftMillis);
            }
        }
    }

    private Web.Answer transact(JsonNode body) {
        ArrayNode current = Web.JSON.createArrayNode();
        boolean holds = true;
        for (JsonNode expected : body.path("expected_rev")) {
            Item item = mItems.get(expected.path("key").asText());
            holds &= expected.path("revision").asLong() == (item == null ? 0 : item.revision());
            if (item != null) {
                current.add(document(item));
            }
        }
        if (!holds) {
            ObjectNode refusal = Web.JSON.createObjectNode();
            refusal.set("items", current);
            return new Web.Answer(412, refusal.toString());
        }
        for (JsonNode write : body.path("writes")) {
            long lease = write.path("lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return new Web.Answer(404, "");
            }
        }
        for (JsonNode write : body.path("writes")) {
            write(write.path("key").asText(), write.path("value").asText(), write.path("lease").asLong());
        }
        body.path("remove").forEach(key -> remove(key.asText()));
        notifyAll();
        return answer(Web.JSON.createObjectNode().put("revision", mRevision));
    }

    private void write(String key, String value, long lease) {
        Item before = mItems.get(key);
        mRevision++;
        Item item = new Item(key, value, mRevision, before == null ? mRevision : before.created(), lease);
        mItems.put(key, item);
        mHistory.add(new Event(mRevision, key, item));
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            mHistory.add(new Event(mRevision, key, null));
        }
    }

    private static ObjectNode document(Item item) {
        return Web.JSON.createObjectNode()
                .put("key", item.key())
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private static Web.Answer answer(ObjectNode body) {
        return new Web.Answer(200, body.toString());
    }
}
