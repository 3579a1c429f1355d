package org.wagtailproxy.control;

import java.util.Objects;

/**
 * Represents the failure of a command.
 *
 * @param exitCode the exit code of the process, not null
 * @param detail the message for the operator, not null
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
