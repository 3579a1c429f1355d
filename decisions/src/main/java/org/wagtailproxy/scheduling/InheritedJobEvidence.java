package org.wagtailproxy.scheduling;

/** Defines what shows that no earlier leader's run of an inherited job is active unnoticed. */
public enum InheritedJobEvidence {
    /** The servers that the earlier leader named have been polled. */
    FORMER_SERVERS_POLLED,
    /** All servers have been polled since no earlier leader can start tasks of the job. */
    ALL_SERVERS_POLLED,
    /** All leases that the earlier leader may have extended have expired. */
    LEASES_EXPIRED
}
