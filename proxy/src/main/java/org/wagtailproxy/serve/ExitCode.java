package org.wagtailproxy.serve;

/** The exit codes of the daemon. */
final class ExitCode {

    /** Stopped as planned, or the settings are sound. */
    static final int OK = 0;

    /** An address cannot be listened on. */
    static final int CANNOT_LISTEN = 1;

    /** The command line is wrong. */
    static final int USAGE = 2;

    /** The settings are wrong. */
    static final int BAD_SETTINGS = 3;

    /** The instance was sealed and has to be replaced. */
    static final int SEALED = 4;

    private ExitCode() {}
}
