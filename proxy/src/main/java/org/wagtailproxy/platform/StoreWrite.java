package org.wagtailproxy.platform;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * Represents the result of a conditional write.
 *
 * @param written whether the value was written
 * @param revision the revision of the write, or of the store if nothing was written
 * @param current the existing entry if nothing was written, none if there is no entry, not null
 */
public record StoreWrite(boolean written, long revision, Option<StoreEntry> current) {

    /** Checks the components. */
    public StoreWrite {
        Objects.requireNonNull(current, "current");
    }
}
