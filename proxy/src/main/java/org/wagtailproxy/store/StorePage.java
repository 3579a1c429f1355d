package org.wagtailproxy.store;

import java.util.List;

/**
 * Represents the result of a read or a watch: a page of items, or the changes since a revision.
 *
 * @param items the current items of the page, or the written ones; not null
 * @param removedKeys keys of items that were removed, empty for a read; not null
 * @param revision the store's revision that the page reflects
 * @param hasMore whether another page follows
 */
public record StorePage(
        List<StoreItem> items, List<String> removedKeys, long revision, boolean hasMore) {

    /** Copies the lists. */
    public StorePage {
        items = List.copyOf(items);
        removedKeys = List.copyOf(removedKeys);
    }
}
