package org.wagtailproxy.store;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Represents writes and removals that are applied atomically, or not at all if the guard has
 * changed. The guard is the store item whose revision conditions the transaction.
 *
 * @param guard the key of the guard, not null
 * @param guardRevision the required revision of the guard, 0 if it must not exist
 * @param writes new values by key, not null
 * @param keysToRemove the keys of the items to remove, not null
 */
public record StoreTransaction(
        String guard, long guardRevision, Map<String, byte[]> writes, List<String> keysToRemove) {

    /** Maximum number of keys in a transaction, including the guard. */
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
