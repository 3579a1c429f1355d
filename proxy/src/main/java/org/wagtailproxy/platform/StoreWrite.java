package org.wagtailproxy.platform;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * What a conditional write did.
 *
 * @param written whether the value was written
 * @param revision the revision of the write, or of the store if nothing was written
 * @param current the entry that stood in the way, none if there was none
 */
public record StoreWrite(boolean written, long revision, Option<StoreEntry> current) {

    /** Checks the components. */
    public StoreWrite {
        Objects.requireNonNull(current, "current");
    }
}
