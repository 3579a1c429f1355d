package org.wagtailproxy.platform;

import java.util.Objects;

/**
 * One key of the store.
 *
 * @param key the key, not null
 * @param value the value, not null
 * @param revision the revision of its last change
 */
public record StoreEntry(String key, String value, long revision) {

    /** Checks the components. */
    public StoreEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
