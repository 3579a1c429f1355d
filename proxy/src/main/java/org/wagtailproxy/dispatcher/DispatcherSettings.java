package org.wagtailproxy.dispatcher;

import java.util.Objects;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.limits.InstanceLimits;
import org.wagtailproxy.scheduling.LeaseTiming;
import org.wagtailproxy.scheduling.SchedulerTuning;

/**
 * Settings of a dispatcher, which stay the same while it runs.
 *
 * @param name the name of its instance, not null
 * @param incarnation the process that it runs in, not null
 * @param dataCentre the data centre of its instance, not null
 * @param peerAddress the address that it listens on for other instances, not null
 * @param processorMillis its processor capacity in thousandths of a core, 0 if it is not known
 * @param timing the times of leases, not null
 * @param tuning the parameters of scheduling decisions, not null
 * @param limits the limits on what jobs take up, not null
 */
public record DispatcherSettings(
        InstanceName name,
        Incarnation incarnation,
        DataCentre dataCentre,
        HostAddress peerAddress,
        long processorMillis,
        LeaseTiming timing,
        SchedulerTuning tuning,
        InstanceLimits limits) {

    /** Checks that no component is null. */
    public DispatcherSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(tuning, "tuning");
        Objects.requireNonNull(limits, "limits");
    }

    /**
     * Creates settings with the default limits.
     *
     * @param name the name of its instance, not null
     * @param incarnation the process that it runs in, not null
     * @param dataCentre the data centre of its instance, not null
     * @param peerAddress the address that it listens on for other instances, not null
     * @param processorMillis its processor capacity in thousandths of a core, 0 if not known
     * @param timing the times of leases, not null
     * @param tuning the parameters of scheduling decisions, not null
     */
    public DispatcherSettings(
            InstanceName name,
            Incarnation incarnation,
            DataCentre dataCentre,
            HostAddress peerAddress,
            long processorMillis,
            LeaseTiming timing,
            SchedulerTuning tuning) {
        this(
                name,
                incarnation,
                dataCentre,
                peerAddress,
                processorMillis,
                timing,
                tuning,
                InstanceLimits.defaults());
    }

    /**
     * Returns this process as the home of the jobs that it submits.
     *
     * @return the process, never null
     */
    public HomeProcess home() {
        return new HomeProcess(name, incarnation);
    }
}
