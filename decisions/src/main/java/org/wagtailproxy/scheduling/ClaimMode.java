package org.wagtailproxy.scheduling;

/** Defines whether and when an instance claims a backend server. */
public enum ClaimMode {
    /** Does not claim the server. */
    NONE,
    /** Claims the server only if no runs of another instance are found on it. */
    IF_UNUSED,
    /** Claims the server, even if another instance controls it. */
    FIRST
}
