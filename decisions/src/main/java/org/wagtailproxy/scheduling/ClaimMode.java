package org.wagtailproxy.scheduling;

/** How strong the claim of an instance to a backend server is. */
public enum ClaimMode {
    /** It gives no orders there. */
    NONE,
    /** It gives orders there only if nobody else seems to. */
    IF_UNUSED,
    /** It gives orders there, whoever did before. */
    FIRST
}
