package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * Represents a sign of life of a process, with the status that it reports.
 *
 * @param process the process, not null
 * @param follows the leader that it follows, none if it has none; not null
 * @param clockNanos its monotonic clock, {@link MessageAge#UNKNOWN_CLOCK_NANOS} if it does not
 *     report it
 * @param sentNanos a monotonic time of this instance at or before which it was sent, in nanoseconds
 */
public record LifeSign(
        HomeProcess process, Option<InstanceName> follows, long clockNanos, long sentNanos) {

    /** Validates the components. */
    public LifeSign {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(follows, "follows");
    }
}
