package org.wagtailproxy.store;

import java.util.Objects;

/**
 * Represents an item of the store.
 *
 * @param key the key, not null
 * @param value the value, not null
 * @param revision the store's revision at the item's last change
 */
public record StoreItem(String key, byte[] value, long revision) {

    /** Checks the components. */
    public StoreItem {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
