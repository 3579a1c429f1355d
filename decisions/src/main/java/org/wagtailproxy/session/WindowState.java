package org.wagtailproxy.session;

/** Specifies how the job names of one window are treated. */
public enum WindowState {
    /** The incarnation has not issued tokens of the window. */
    NEVER_ISSUED,
    /** New names are accepted. */
    ACCEPTING,
    /** No new names are accepted; jobs are still remembered. */
    CLOSED,
    /** Jobs of the window are no longer remembered. */
    FORGOTTEN
}
