package org.wagtailproxy.scheduling;

/**
 * Times by which backend servers are held and looked after, in milliseconds.
 *
 * @param leaseMillis how long a lease is given for
 * @param renewMillis what is left of a lease when it is renewed
 * @param busyWaitMillis how long a look may wait while tasks run
 * @param idleWaitMillis how long a look may wait while nothing runs
 * @param adoptMillis how long a run of another instance may wait for its job to be handed over
 */
public record LeaseTiming(
        long leaseMillis,
        long renewMillis,
        long busyWaitMillis,
        long idleWaitMillis,
        long adoptMillis) {

    /** Longest lease, so that a silent server's tasks can be placed anew within a second. */
    private static final long MAX_LEASE_MILLIS = 900;

    /** Longest wait of a look; two renewals fit into a lease. */
    private static final long MAX_BUSY_WAIT_MILLIS = 300;

    /** Longest wait that backend servers allow. */
    private static final long IDLE_WAIT_MILLIS = 1500;

    /** Covers two rounds of heartbeats, after which callers' instances know the new leader. */
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
        return new LeaseTiming(lease, lease / 2, busyWait, IDLE_WAIT_MILLIS, ADOPT_MILLIS);
    }
}
