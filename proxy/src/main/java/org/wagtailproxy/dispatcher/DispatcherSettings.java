package org.wagtailproxy.dispatcher;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.scheduling.LeaseTiming;
import org.wagtailproxy.scheduling.SchedulerTuning;

/**
 * What a dispatcher is told at its start.
 *
 * @param name its name, not null
 * @param dataCentre where it stands, not null
 * @param peerAddress where it listens to other instances, not null
 * @param processorMillis its processor in thousandths of a core, 0 if it is not known
 * @param timing times of leases, not null
 * @param tuning how to weigh, not null
 */
public record DispatcherSettings(
        InstanceName name,
        DataCentre dataCentre,
        HostAddress peerAddress,
        long processorMillis,
        LeaseTiming timing,
        SchedulerTuning tuning) {

    /** Checks the components. */
    public DispatcherSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(tuning, "tuning");
    }
}
