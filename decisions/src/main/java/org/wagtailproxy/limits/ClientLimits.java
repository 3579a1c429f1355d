package org.wagtailproxy.limits;

/**
 * Limits the clients of one listener.
 *
 * @param maxConnections the maximum number of open connections
 * @param maxMemoryBytes the maximum memory that requests and responses of all connections take up
 *     together, in bytes
 * @param maxReadAheadBytes the maximum memory of the requests that a connection has sent before an
 *     earlier one is answered, in bytes
 * @param maxHeaderBytes the maximum size of the request line, and of the header lines together, in
 *     bytes
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param headerMillis the maximum time from the first byte of a request to the end of its header
 *     lines, in milliseconds
 * @param requestMillis the maximum time from the first byte of a request to its end, and for which
 *     responses may remain unread, in milliseconds
 */
public record ClientLimits(
        int maxConnections,
        long maxMemoryBytes,
        long maxReadAheadBytes,
        int maxHeaderBytes,
        int maxBodyBytes,
        long headerMillis,
        long requestMillis) {

    /** The largest header that the operators' configurations allow. */
    public static final int DEFAULT_HEADER_BYTES = 16_384;

    /** The longest time for header lines that the operators' configurations allow. */
    public static final long DEFAULT_HEADER_MILLIS = 3000;

    /**
     * Default of the time for a whole request. A body of the largest size takes a fraction of it on
     * the slowest link.
     */
    public static final long DEFAULT_REQUEST_MILLIS = 30_000;

    /** Default of the memory for requests sent ahead; more than the largest request. */
    public static final long DEFAULT_READ_AHEAD_BYTES = 512 * 1024;

    /** The part of the connections that is left to clients without a request in hand. */
    private static final int RESERVED_DIVISOR = 8;

    /** Validates the components. */
    public ClientLimits {
        if (maxConnections < 1 || maxMemoryBytes < 1 || maxHeaderBytes < 1 || maxBodyBytes < 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /**
     * Creates limits with the defaults of sizes and times.
     *
     * @param maxConnections the maximum number of open connections
     * @param maxMemoryBytes the maximum memory of all requests and responses, in bytes
     * @param maxBodyBytes the maximum size of a request body in bytes
     * @return the limits, never null
     */
    public static ClientLimits of(int maxConnections, long maxMemoryBytes, int maxBodyBytes) {
        return new ClientLimits(
                maxConnections,
                maxMemoryBytes,
                DEFAULT_READ_AHEAD_BYTES,
                DEFAULT_HEADER_BYTES,
                maxBodyBytes,
                DEFAULT_HEADER_MILLIS,
                DEFAULT_REQUEST_MILLIS);
    }

    /**
     * Returns a copy with the limits that the operators' configuration sets for header lines.
     *
     * @param headerBytes the maximum size of the header lines in bytes
     * @param millis the maximum time for the header lines in milliseconds
     * @return the changed limits, never null
     */
    public ClientLimits withHeaderLimits(int headerBytes, long millis) {
        return new ClientLimits(
                maxConnections,
                maxMemoryBytes,
                maxReadAheadBytes,
                headerBytes,
                maxBodyBytes,
                millis,
                Math.max(millis, requestMillis));
    }

    /**
     * Returns how many requests may be handled at a time.
     *
     * @return the number, at least 1
     */
    public int maxHandledRequests() {
        return maxConnections - maxConnections / RESERVED_DIVISOR;
    }

    /**
     * Returns the bound of a limit, for log lines.
     *
     * @param limit the limit, not null
     * @return the bound as a number of connections or requests, bytes or milliseconds
     */
    public long boundOf(ExceededLimit limit) {
        return switch (limit) {
            case CONNECTIONS -> maxConnections;
            case REQUESTS -> maxHandledRequests();
            case MEMORY -> maxMemoryBytes;
            case READ_AHEAD -> maxReadAheadBytes;
            case HEADER_SIZE -> maxHeaderBytes;
            case BODY_SIZE, FRAME_SIZE -> maxBodyBytes;
            case HEADER_TIME -> headerMillis;
            case REQUEST_TIME, RESPONSE_TIME -> requestMillis;
        };
    }
}
