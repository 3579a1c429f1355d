package org.wagtailproxy.dispatcher;

import org.wagtailproxy.fleet.ServerEntry;

/** Notified of events after which this instance may no longer be the leader. */
interface LeadershipDoubtListener {

    /** This machine may have been suspended. */
    void onPossibleSuspension();

    /**
     * Checks whether some peers have not answered a probe since this machine may have been
     * suspended, so that another instance may lead.
     */
    boolean hasUnconfirmedPeers();

    /** A backend server is no longer held, since another instance may control it. */
    void onFenced(ServerEntry server);

    /** A job was accepted from a leader that did not hand it over. */
    void onJobOfLostLeader();

    /** Returns the latest monotonic time at which provably no other instance of the pool led. */
    long noOtherLeaderNanos();
}
