package org.wagtailproxy.control;

/** Defines the exit codes of the command-line tool, one for each kind of failure. */
enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The awaited job failed. */
    JOB_FAILED(1),
    /** The command line is invalid or an input file cannot be read. */
    USAGE(2),
    /** The input is invalid, or the named resource or job does not exist. */
    REFUSED(3),
    /** The request conflicts with an earlier change (HTTP status 409). */
    CONFLICT(4),
    /** No instance answered. */
    UNREACHABLE(5),
    /** The outcome of the command is not known. */
    UNKNOWN(6),
    /** Only some of the instances answered. */
    PARTIAL(7);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    int code() {
        return mCode;
    }
}
