package org.wagtailproxy.store;

/** Reasons why a call to the store has no result. */
public enum StoreFailure {
    /** The store rejected the call or no connection could be opened; nothing was executed. */
    REFUSED,
    /** No response was received; the call may have been executed or may still be. */
    UNANSWERED,
    /** The store no longer retains the changes after the given revision. */
    HISTORY_GONE,
    /** The lease has ended. */
    LEASE_GONE,
    /** The item has a different revision than expected. */
    CONFLICT,
    /** The response could not be decoded. */
    UNREADABLE
}
