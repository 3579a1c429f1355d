package org.wagtailproxy.dispatcher;

/**
 * Receives how far the list of backend servers agrees with the directory, which it is read from.
 * Confined to the event loop.
 */
public final class ServerListTracker {

    private final LeaderScheduler mLeaderScheduler;
    private final LeaderElection mElection;

    ServerListTracker(LeaderScheduler leaderScheduler, LeaderElection election) {
        mLeaderScheduler = leaderScheduler;
        mElection = election;
    }

    /**
     * Records that the backend servers are those that the directory lists at a time or later.
     *
     * @param askedNanos the monotonic time at which the directory was asked, in nanoseconds
     */
    public void onConfirmed(long askedNanos) {
        mLeaderScheduler.recordServerListRead(askedNanos);
    }

    /** Records that the directory does not answer, so that the list cannot be confirmed now. */
    public void onUnavailable() {
        mLeaderScheduler.placement().onStoreUnavailable();
    }

    /**
     * Records that backend servers may have been listed and removed again without being passed to
     * {@link Dispatcher#updateServers}, but not after a time. Unknown until the first call.
     *
     * @param nanos the monotonic time in nanoseconds
     */
    public void onTrackedSince(long nanos) {
        mLeaderScheduler.recordServersTrackedSince(nanos);
    }

    /**
     * Updates whether the backend servers may include some that the directory no longer lists, so
     * that tasks may run where the next leader does not look. They may not at first.
     *
     * @param outdated true if the directory cannot be read, or was not for a while
     */
    public void updateOutdated(boolean outdated) {
        mElection.updateServerListOutdated(outdated);
    }
}
