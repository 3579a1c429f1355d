package org.wagtailproxy.limits;

import java.util.Objects;

/**
 * Limits what all clients of an instance take up together.
 *
 * <p>Half of the heap is left to the instance itself: the sum of the memory for callers, other
 * listeners, peers, jobs and stored jobs is below the other half.
 *
 * @param callers the limits on callers, not null
 * @param internal the limits of each of the listeners for readiness and metrics, not null
 * @param peers the limits on other instances, not null
 * @param jobMemoryBytes the maximum memory of the jobs that this instance schedules as a leader, in
 *     bytes
 * @param storedJobMemoryBytes the maximum memory of the stored jobs that it coordinates, in bytes
 */
public record InstanceLimits(
        ClientLimits callers,
        ClientLimits internal,
        ClientLimits peers,
        long jobMemoryBytes,
        long storedJobMemoryBytes) {

    /** The descriptors of the smallest machine that the platform has. */
    public static final int DEFAULT_DESCRIPTORS = 2212;

    /** Largest request body if the configuration sets no limit. */
    public static final int MAX_BODY_BYTES = 1024 * 1024;

    /** Descriptors that the platform reserves for files. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Part of the other descriptors for callers; connections to backend servers need the rest. */
    private static final double CALLER_SHARE = 0.6;

    /** Part of the descriptors for peers; more than there are instances in the largest fleet. */
    private static final double PEER_SHARE = 0.2;

    /** The platform and operators' tools have one connection each. */
    private static final int INTERNAL_CONNECTIONS = 16;

    private static final int INTERNAL_BODY_BYTES = 8192;

    /** Memory for unread responses of a listener; a page of metrics has about 50 KB. */
    private static final long INTERNAL_MEMORY_BYTES = 1024 * 1024;

    /** A configuration has at most 1 MB, and the progress of the largest job less. */
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    private static final int CALLER_HEAP_DIVISOR = 8;
    private static final int PEER_HEAP_DIVISOR = 12;
    private static final int JOB_HEAP_DIVISOR = 12;

    /** The ended jobs of 150 s at the second site's rate take up half of it. */
    private static final int STORED_JOB_HEAP_DIVISOR = 6;

    /** Checks the components. */
    public InstanceLimits {
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(internal, "internal");
        Objects.requireNonNull(peers, "peers");
    }

    /**
     * Creates the limits that are within the means of a process.
     *
     * @param heapBytes the maximum heap in bytes
     * @param descriptors the maximum number of descriptors
     * @return the limits, never null
     */
    public static InstanceLimits of(long heapBytes, int descriptors) {
        int callers = callerConnections(descriptors);
        int peers = shareOfSockets(descriptors, PEER_SHARE);
        long peerBytes = Math.max(MAX_FRAME_BYTES, heapBytes / PEER_HEAP_DIVISOR);
        return new InstanceLimits(
                ClientLimits.of(callers, heapBytes / CALLER_HEAP_DIVISOR, MAX_BODY_BYTES),
                ClientLimits.of(INTERNAL_CONNECTIONS, INTERNAL_MEMORY_BYTES, INTERNAL_BODY_BYTES),
                ClientLimits.of(peers, peerBytes, MAX_FRAME_BYTES),
                heapBytes / JOB_HEAP_DIVISOR,
                heapBytes / STORED_JOB_HEAP_DIVISOR);
    }

    /**
     * Returns the number of connections of callers that is within the means of a process.
     *
     * @param descriptors the maximum number of descriptors
     * @return the number, at least 1
     */
    public static int callerConnections(int descriptors) {
        return shareOfSockets(descriptors, CALLER_SHARE);
    }

    private static int shareOfSockets(int descriptors, double share) {
        return Math.max(1, (int) ((descriptors - FILE_DESCRIPTORS) * share));
    }

    /**
     * Creates the limits of this process, on a machine of the smallest kind.
     *
     * @return the limits, never null
     */
    public static InstanceLimits defaults() {
        return of(Runtime.getRuntime().maxMemory(), DEFAULT_DESCRIPTORS);
    }
}
