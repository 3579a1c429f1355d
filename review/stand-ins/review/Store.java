package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for the platform's metadata store: items, revisions, conditions, watches and leases.
 * Each machine reaches it at an address of its own, so that its calls can be told apart.
 */
final class Store {

    /** Time of an answer, as the pages give it. */
    private static final long ANSWER_MILLIS = 4;

    private static final int PAGE_ITEMS = 500;

    /** Entries of a transaction. */
    private static final int MAX_ENTRIES = 32;

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mNextLease = 1;
    private volatile String mLastConditionalWriter = "";

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision) {}

    private record Lease(long ttlMillis, long endNanos) {}

    Store() {
        Thread sweeper = new Thread(this::sweepLeases, "leases");
        sweeper.setDaemon(true);
        sweeper.start();
    }

    /** Serves a machine at an address. */
    void serve(String host, int port, String machine) throws IOException {
        new HttpService(host, port, request -> answer(request, machine));
    }

    /** Returns the machine that last wrote under a condition. */
    String lastConditionalWriter() {
        return mLastConditionalWriter;
    }

    /** Writes an item on behalf of the operator or a runner. */
    synchronized void put(String key, String value) {
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void delete(String key) {
        remove(key);
    }

    synchronized List<String> keys(String prefix) {
        return mItems.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private HttpService.Answer answer(HttpService.Request request, String machine)
            throws InterruptedException {
        HttpService.Answer answer = handle(request, machine);
        Thread.sleep(ANSWER_MILLIS);
        return answer;
    }

    private synchronized HttpService.Answer handle(HttpService.Request request, String machine)
            throws InterruptedException {
        String path = request.path();
        if (path.equals("/-/kv-key")) {
            String key = request.query().get("key");
            Item item = mItems.get(key);
            if (item == null) {
                return new HttpService.Answer(404, Json.of("read_rev", mRevision));
            }
            Map<String, Object> found = document(key, item);
            found.put("read_rev", mRevision);
            return new HttpService.Answer(200, found);
        }
        if (path.equals("/-/kv-range")) {
            return range(request.query().get("prefix"), request.query().getOrDefault("after", ""));
        }
        if (path.equals("/-/kv-watch")) {
            return watch(
                    request.query().get("prefix"),
                    Long.parseLong(request.query().get("after")),
                    Long.parseLong(request.query().get("wait_ms")));
        }
        if (path.equals("/-/kv-txn")) {
            return transact(request.body(), machine);
        }
        if (path.equals("/-/kv-lease")) {
            return grant(mNextLease++, Json.number(request.body(), "ttl_ms"));
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/-/kv-keep/") && mLeases.containsKey(lease)) {
            return grant(lease, mLeases.get(lease).ttlMillis());
        }
        if (path.startsWith("/-/kv-lease-end/") && mLeases.remove(lease) != null) {
            removeUnleased();
            return new HttpService.Answer(200, Json.of());
        }
        return new HttpService.Answer(404, Json.of());
    }

    private HttpService.Answer range(String prefix, String after) {
        List<Object> items = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Item> entry : mItems.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (!after.isEmpty() && entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            items.add(document(entry.getKey(), entry.getValue()));
        }
        return new HttpService.Answer(
                200, Json.of("items", items, "has_more", more, "read_rev", mRevision));
    }

    private HttpService.Answer watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int index = mHistory.size() - 1; index >= 0; index--) {
                Event event = mHistory.get(index);
                if (event.revision() <= after) {
                    break;
                }
                if (event.key().startsWith(prefix)) {
                    events.add(0, document(event));
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return new HttpService.Answer(
                        200, Json.of("events", events, "read_rev", mRevision));
            }
            wait(leftMillis);
        }
    }

    @SuppressWarnings("unchecked")
    private HttpService.Answer transact(Map<String, Object> body, String machine) {
        List<Map<String, Object>> conditions =
                (List<Map<String, Object>>) body.getOrDefault("expected_rev", List.of());
        List<Map<String, Object>> writes =
                (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        List<String> removed = (List<String>) body.getOrDefault("remove", List.of());
        if (conditions.size() + writes.size() + removed.size() > MAX_ENTRIES) {
            return new HttpService.Answer(400, Json.of());
        }
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            String key = (String) condition.get("key");
            Item item = mItems.get(key);
            holds &= Json.number(condition, "revision") == (item == null ? 0 : item.revision());
            if (item != null) {
                current.add(document(key, item));
            }
        }
        if (!holds) {
            return new HttpService.Answer(412, Json.of("items", current));
        }
        for (Map<String, Object> write : writes) {
            long lease = Json.number(write, "lease");
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return new HttpService.Answer(404, Json.of());
            }
        }
        if (!conditions.isEmpty()) {
            mLastConditionalWriter = machine;
        }
        for (Map<String, Object> write : writes) {
            write(
                    (String) write.get("key"),
                    (String) write.get("value"),
                    Json.number(write, "lease"));
        }
        removed.forEach(this::remove);
        return new HttpService.Answer(200, Json.of("revision", mRevision));
    }

    private HttpService.Answer grant(long lease, long ttlMillis) {
        mLeases.put(lease, new Lease(ttlMillis, System.nanoTime() + ttlMillis * 1_000_000));
        return new HttpService.Answer(200, Json.of("lease", lease, "ttl_ms", ttlMillis));
    }

    private void sweepLeases() {
        while (true) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException end) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                if (mLeases.values().removeIf(lease -> lease.endNanos() - now < 0)) {
                    removeUnleased();
                }
            }
        }
    }

    private void removeUnleased() {
        mItems.entrySet().stream()
                .filter(each -> each.getValue().lease() != 0)
                .filter(each -> !mLeases.containsKey(each.getValue().lease()))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
    }

    private void write(String key, String value, long lease) {
        mRevision++;
        Item old = mItems.get(key);
        Item item = new Item(value, mRevision, old == null ? mRevision : old.created(), lease);
        mItems.put(key, item);
        mHistory.add(new Event(key, item, mRevision));
        notifyAll();
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            mHistory.add(new Event(key, null, mRevision));
            notifyAll();
        }
    }

    private static Map<String, Object> document(Event event) {
        return event.item() == null
                ? Json.of("key", event.key(), "revision", event.revision(), "deleted", true)
                : document(event.key(), event.item());
    }

    private static Map<String, Object> document(String key, Item item) {
        return Json.of(
                "key",
                key,
                "value",
                item.value(),
                "revision",
                item.revision(),
                "created",
                item.created(),
                "lease",
                item.lease());
    }
}
