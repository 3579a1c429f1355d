package org.wagtailproxy.scheduling;

/**
 * Defines the times for leases and polls of backend servers, in milliseconds.
 *
 * @param leaseMillis duration of a lease
 * @param maxLeaseMillis the longest lease that a backend server grants, whatever is requested
 * @param renewMillis remaining time of a lease at which it is renewed
 * @param busyWaitMillis how long a poll may wait for an end while tasks run
 * @param idleWaitMillis how long a poll may wait while nothing runs
 * @param adoptMillis how long an orphaned run may wait for its job to be handed over
 */
public record LeaseTiming(
        long leaseMillis,
        long maxLeaseMillis,
        long renewMillis,
        long busyWaitMillis,
        long idleWaitMillis,
        long adoptMillis) {

    /** Longest lease; tasks of an unresponsive server can be placed again within a second. */
    private static final long MAX_LEASE_MILLIS = 900;

    /** Longest wait of a poll while tasks run; two renewals fit into a lease. */
    private static final long MAX_BUSY_WAIT_MILLIS = 300;

    /** Longest wait of a poll that backend servers allow. */
    private static final long IDLE_WAIT_MILLIS = 1500;

    /** Covers two rounds of heartbeats, after which callers' instances know a new leader. */
    private static final long ADOPT_MILLIS = 250;

    /**
     * Derives the times from the longest lease that backend servers grant.
     *
     * @param maxLeaseMillis the longest lease in milliseconds, 100 or more
     * @return the times, never null
     */
    public static LeaseTiming of(long maxLeaseMillis) {
        if (maxLeaseMillis < 100) {
            throw new IllegalArgumentException("leases shorter than 100 ms cannot be renewed");
        }
        long lease = Math.min(maxLeaseMillis, MAX_LEASE_MILLIS);
        long busyWait = Math.min(lease / 3, MAX_BUSY_WAIT_MILLIS);
        return new LeaseTiming(
                lease, maxLeaseMillis, lease / 2, busyWait, IDLE_WAIT_MILLIS, ADOPT_MILLIS);
    }
}
