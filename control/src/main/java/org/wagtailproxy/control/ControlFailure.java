package org.wagtailproxy.control;

import java.util.Objects;

/**
 * Why a command could not be carried out.
 *
 * @param exitCode the exit code, not null
 * @param detail what to tell the operator, not null
 */
record ControlFailure(ExitCode exitCode, String detail) {

    /** Checks the components. */
    ControlFailure {
        Objects.requireNonNull(exitCode, "exitCode");
        Objects.requireNonNull(detail, "detail");
    }

    static ControlFailure of(ExitCode exitCode, String detail) {
        return new ControlFailure(exitCode, detail);
    }
}
