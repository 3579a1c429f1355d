package org.wagtailproxy.settings;

import java.time.Duration;
import java.util.List;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.limits.ClientLimits;
import org.wagtailproxy.membership.MembershipTiming;

/**
 * Represents the validated settings of one entry instance.
 *
 * @param instance identity and addresses of the instance
 * @param platform addresses and timing of calls to the platform
 * @param peers communication with other instances
 * @param sessions session windows and their retention
 * @param limits limits on bodies, memory, time and rates
 */
public record Settings(
        InstanceSettings instance,
        PlatformSettings platform,
        PeerSettings peers,
        SessionSettings sessions,
        LimitSettings limits) {

    /**
     * Represents the identity and the addresses of the instance.
     *
     * @param name the name of the instance in the log
     * @param dataCentre the data centre of the instance
     * @param callerAddress the advertised address for callers and operators
     * @param peerAddress the advertised address for other instances
     * @param callerListenAddress the address to listen on for callers and operators
     * @param peerListenAddress the address to listen on for other instances; its host is also the
     *     source address of calls to them
     */
    public record InstanceSettings(
            String name,
            DataCentre dataCentre,
            HostAddress callerAddress,
            HostAddress peerAddress,
            HostAddress callerListenAddress,
            HostAddress peerListenAddress) {}

    /**
     * Represents the addresses of the platform and the timing of calls to it.
     *
     * @param storeAddress the address of the key-value service
     * @param listAddress the address of the instance list
     * @param pollInterval the time between reads by all instances of a data centre together
     * @param callTimeout the maximum duration of a call
     */
    public record PlatformSettings(
            HostAddress storeAddress,
            HostAddress listAddress,
            Duration pollInterval,
            Duration callTimeout) {}

    /**
     * Represents the communication with other instances.
     *
     * @param seeds addresses of other instances to contact at start
     * @param heartbeatInterval time between heartbeats to each neighbour
     * @param remoteHeartbeatInterval time between heartbeats to each instance of another data
     *     centre
     * @param controlBytesPerSecond the limit on heartbeat bytes, sent and received
     * @param replicas how many neighbours store each end (final result of a job), 1 or 2
     * @param timing times without contact after which ends are withheld and instances are sealed
     */
    public record PeerSettings(
            List<HostAddress> seeds,
            Duration heartbeatInterval,
            Duration remoteHeartbeatInterval,
            int controlBytesPerSecond,
            int replicas,
            MembershipTiming timing) {}

    /**
     * Represents the session windows, in which job names are accepted, and their retention.
     *
     * @param window the length of a window
     * @param retainedWindows the number of windows whose jobs are remembered
     */
    public record SessionSettings(Duration window, int retainedWindows) {}

    /**
     * Represents limits on bodies, memory, time and rates.
     *
     * @param bodyBytes the maximum size of a request body in bytes
     * @param outcomeBytes the memory for remembered outcomes in bytes
     * @param drainTimeout the maximum time that a planned stop waits for jobs
     * @param claimsPerSecond the maximum rate of claims for names without a session
     * @param idleConnection how long an idle connection to a backend server stays open
     * @param callers the limits on callers and operators
     */
    public record LimitSettings(
            int bodyBytes,
            long outcomeBytes,
            Duration drainTimeout,
            int claimsPerSecond,
            Duration idleConnection,
            ClientLimits callers) {}
}
