package org.wagtailproxy.session;

/** What holds for the job names of one window. */
public enum WindowState {
    /** The incarnation has not issued the window. */
    NEVER_ISSUED,
    /** New names are taken. */
    ACCEPTING,
    /** No new names are taken; jobs are remembered. */
    CLOSED,
    /** Jobs of the window are no longer remembered. */
    FORGOTTEN
}
