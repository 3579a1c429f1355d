package org.wagtailproxy.platform;

import io.vavr.control.Option;
import java.util.List;

/**
 * Represents the result of a read.
 *
 * @param revision the revision of the store at the time of the read
 * @param entries the entries, not null
 */
public record StoreRange(long revision, List<StoreEntry> entries) {

    /** Copies the entries. */
    public StoreRange {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the first entry, which is the only one when a single key was read.
     *
     * @return the entry, none if there are no entries
     */
    public Option<StoreEntry> first() {
        return entries.isEmpty() ? Option.none() : Option.some(entries.get(0));
    }
}
