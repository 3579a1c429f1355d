package org.wagtailproxy.failure;

import java.util.Locale;

/** Whether work that failed or was refused has been executed. */
public enum Executed {
    /** The work was provably not started. */
    NO,
    /** The work may or may not have been started. */
    UNKNOWN,
    /** The work was started and its failure was reported. */
    YES;

    /**
     * Returns the word used in documents.
     *
     * @return the lower-case word, never null
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
