package org.wagtailproxy.store;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Writes that are done together, or not at all if the guard has changed.
 *
 * @param guard the key that must not have changed, not null
 * @param guardRevision the revision that it must have, 0 if it must not exist
 * @param writes new values by key, not null
 * @param keysToRemove keys to remove, not null
 */
public record StoreTransaction(
        String guard, long guardRevision, Map<String, byte[]> writes, List<String> keysToRemove) {

    /** The most keys that one transaction may touch, the guard included. */
    public static final int MAX_KEYS = 32;

    /** Checks and copies the components. */
    public StoreTransaction {
        Objects.requireNonNull(guard, "guard");
        writes = Map.copyOf(writes);
        keysToRemove = List.copyOf(keysToRemove);
        if (writes.size() + keysToRemove.size() >= MAX_KEYS) {
            throw new IllegalArgumentException("a transaction touches at most 32 keys");
        }
    }
}
