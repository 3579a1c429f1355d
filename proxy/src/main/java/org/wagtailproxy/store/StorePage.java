package org.wagtailproxy.store;

import java.util.List;

/**
 * A page of items, or of what has changed.
 *
 * @param items items as they are now, not null
 * @param removedKeys keys that were removed, not null
 * @param revision the store's revision at which this holds
 * @param hasMore true if another page follows
 */
public record StorePage(
        List<StoreItem> items, List<String> removedKeys, long revision, boolean hasMore) {

    /** Copies the lists. */
    public StorePage {
        items = List.copyOf(items);
        removedKeys = List.copyOf(removedKeys);
    }
}
