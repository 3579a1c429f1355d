package org.wagtailproxy.serve;

/** The exit codes of the daemon. */
final class ExitCode {

    /** The instance stopped as planned, or the settings are valid. */
    static final int OK = 0;

    /** The instance cannot listen on one of its addresses. */
    static final int CANNOT_LISTEN = 1;

    /** The command line is invalid. */
    static final int USAGE = 2;

    /** The settings are invalid. */
    static final int BAD_SETTINGS = 3;

    /** The instance was sealed and must be replaced by a new one. */
    static final int SEALED = 4;

    private ExitCode() {}
}
