package org.wagtailproxy.platform;

import java.util.Objects;

/**
 * Represents one key of the store with its value.
 *
 * @param key the key, not null
 * @param value the value, not null
 * @param revision the revision of the last change of the key
 */
public record StoreEntry(String key, String value, long revision) {

    /** Checks the components. */
    public StoreEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
