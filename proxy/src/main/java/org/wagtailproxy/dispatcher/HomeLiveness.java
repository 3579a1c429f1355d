package org.wagtailproxy.dispatcher;

import org.wagtailproxy.leadership.HomeProcess;

/** Decides whether the processes that have submitted jobs are alive and still wait for them. */
interface HomeLiveness {

    /**
     * Checks a home that has submitted its own job here. One that follows another leader has
     * submitted its jobs there, whether it was able to withdraw them here or not.
     */
    boolean isHomeAlive(HomeProcess home);

    /**
     * Checks the leader of another data centre that has forwarded a job here. It relays the answer
     * also after the end of its leadership, whomever it follows.
     */
    boolean isForwarderAlive(HomeProcess forwarder);

    /** Withdraws the jobs of the callers of this instance that have disconnected. */
    void withdrawJobsOfDisconnectedCallers();
}
