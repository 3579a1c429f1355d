package org.wagtailproxy.settings;

import java.time.Duration;
import java.util.List;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.membership.MembershipTiming;

/**
 * The checked settings of one entry instance.
 *
 * @param instance who and where it is
 * @param platform where the platform is and how it is called
 * @param peers how instances keep in touch
 * @param sessions how long names are taken and remembered
 * @param limits bounds on bodies, memory and time
 */
public record Settings(
        InstanceSettings instance,
        PlatformSettings platform,
        PeerSettings peers,
        SessionSettings sessions,
        LimitSettings limits) {

    /**
     * Who and where the instance is.
     *
     * @param name a name for logs
     * @param dataCentre its data centre
     * @param callerAddress where callers and operators reach it
     * @param peerAddress where other instances reach it
     * @param callerListenAddress where it listens for callers and operators
     * @param peerListenAddress where it listens for other instances, whose host is also the source
     *     of its calls to them
     */
    public record InstanceSettings(
            String name,
            DataCentre dataCentre,
            HostAddress callerAddress,
            HostAddress peerAddress,
            HostAddress callerListenAddress,
            HostAddress peerListenAddress) {}

    /**
     * Where the platform is and how it is called.
     *
     * @param storeAddress the key-value service
     * @param listAddress the instance list
     * @param pollInterval how often a data centre reads, by all its instances together
     * @param callTimeout the longest a call may take
     */
    public record PlatformSettings(
            HostAddress storeAddress,
            HostAddress listAddress,
            Duration pollInterval,
            Duration callTimeout) {}

    /**
     * How instances keep in touch.
     *
     * @param seeds addresses of other instances that are tried at start
     * @param heartbeatInterval between heartbeats to each neighbour
     * @param remoteHeartbeatInterval between heartbeats to each instance elsewhere
     * @param controlBytesPerSecond the bound on heartbeat bytes, sent and received
     * @param replicas how many neighbours keep each end, 1 or 2
     * @param timing how long silence is borne
     */
    public record PeerSettings(
            List<HostAddress> seeds,
            Duration heartbeatInterval,
            Duration remoteHeartbeatInterval,
            int controlBytesPerSecond,
            int replicas,
            MembershipTiming timing) {}

    /**
     * How long names are taken and remembered.
     *
     * @param window the length of a window
     * @param retainedWindows how many windows are remembered
     */
    public record SessionSettings(Duration window, int retainedWindows) {}

    /**
     * Bounds on bodies, memory and time.
     *
     * @param bodyBytes the largest request body
     * @param outcomeBytes the memory for remembered outcomes
     * @param drainTimeout the longest a planned stop waits for jobs
     * @param claimsPerSecond claims for names without a session
     * @param idleConnection how long an idle connection to a backend server is kept
     */
    public record LimitSettings(
            int bodyBytes,
            long outcomeBytes,
            Duration drainTimeout,
            int claimsPerSecond,
            Duration idleConnection) {}
}
