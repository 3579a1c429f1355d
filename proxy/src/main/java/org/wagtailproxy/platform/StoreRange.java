package org.wagtailproxy.platform;

import io.vavr.control.Option;
import java.util.List;

/**
 * What a read returned.
 *
 * @param revision the store's revision at the read
 * @param entries the entries, not null
 */
public record StoreRange(long revision, List<StoreEntry> entries) {

    /** Copies the entries. */
    public StoreRange {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the only entry.
     *
     * @return the entry, none if there is none
     */
    public Option<StoreEntry> first() {
        return entries.isEmpty() ? Option.none() : Option.some(entries.get(0));
    }
}
