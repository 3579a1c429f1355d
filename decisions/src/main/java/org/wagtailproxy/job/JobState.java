package org.wagtailproxy.job;

import java.util.Locale;

/** Specifies the state of a job as its callers see it. */
public enum JobState {
    /** Tasks are queued or sent, or the end (the final result) is not replicated yet. */
    RUNNING,
    /** Every task was answered. */
    COMPLETE,
    /** At least one task was not answered; no answers are returned. */
    FAILED;

    /**
     * Returns the name used in documents.
     *
     * @return the lower-case name, never null
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
