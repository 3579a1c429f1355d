package org.wagtailproxy.job;

import java.util.Locale;

/** Where a job stands as its callers see it. */
public enum JobState {
    /** Tasks are queued or sent, or the end is not yet replicated. */
    RUNNING,
    /** Every task was answered. */
    COMPLETE,
    /** At least one task was not answered; no answers are shown. */
    FAILED;

    /**
     * Returns the word used in documents.
     *
     * @return the lower-case word, never null
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
