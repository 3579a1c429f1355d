package org.wagtailproxy.leadership;

/** Represents what an instance knows of its contact to the store while there are stored jobs. */
public enum StoreContact {

    /** Nothing is known to be wrong, but an outage may not have been noticed yet. */
    ASSUMED,

    /** The store has answered since another instance reported that it has lost it. */
    CONFIRMED,

    /** The store does not answer. */
    LOST
}
