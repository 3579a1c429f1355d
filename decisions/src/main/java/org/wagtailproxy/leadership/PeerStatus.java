package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.Objects;
import org.wagtailproxy.workload.DataCentreScope;

/**
 * Represents the status that an instance reports of itself.
 *
 * @param name its name, not null
 * @param seniority the order of joining; a lower number is more senior
 * @param follows the leader that it follows, none if it has none
 * @param draining true if it is about to stop
 * @param storeContact its contact to the store, not null
 * @param overloaded true if it cannot keep up with its work
 * @param coordinatesStoredJobs true if it coordinates the stored jobs
 * @param scope the data centres on whose backend servers it starts tasks while it leads, not null
 * @param clockNanos its monotonic clock in nanoseconds, {@link MessageAge#UNKNOWN_CLOCK_NANOS} if
 *     it is not reported
 */
public record PeerStatus(
        InstanceName name,
        long seniority,
        Option<InstanceName> follows,
        boolean draining,
        StoreContact storeContact,
        boolean overloaded,
        boolean coordinatesStoredJobs,
        DataCentreScope scope,
        long clockNanos) {

    /** Validates the components. */
    public PeerStatus {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(follows, "follows");
        Objects.requireNonNull(storeContact, "storeContact");
        Objects.requireNonNull(scope, "scope");
    }
}
