package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * What an instance tells of itself.
 *
 * @param name its name, not null
 * @param seniority when it joined; a lower number is senior
 * @param follows the leader that it follows, none if it has none
 * @param draining true if it is about to stop
 * @param storeUnreachable true if stored jobs are kept and it does not reach the store
 * @param coordinatesStoredJobs true if it keeps stored jobs
 */
public record PeerStatus(
        InstanceName name,
        long seniority,
        Option<InstanceName> follows,
        boolean draining,
        boolean storeUnreachable,
        boolean coordinatesStoredJobs) {

    /** Checks the components. */
    public PeerStatus {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(follows, "follows");
    }
}
