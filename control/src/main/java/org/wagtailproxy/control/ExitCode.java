package org.wagtailproxy.control;

/** The exit codes of the command line, by kind of failure. */
enum ExitCode {
    /** Done. */
    OK(0),
    /** The job that was waited for ended failed. */
    JOB_FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The input is wrong or what was named does not exist. */
    REFUSED(3),
    /** Another change came first. */
    CONFLICT(4),
    /** No instance answered. */
    UNREACHABLE(5),
    /** Whether it was done is not known. */
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
