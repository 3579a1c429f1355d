package org.wagtailproxy.failure;

import java.util.Locale;

/** Specifies whether work that failed or was refused was executed. */
public enum Executed {
    /** The work was certainly not started. */
    NO,
    /** The work may or may not have been started. */
    UNKNOWN,
    /** The work was started and its failure was reported. */
    YES;

    /**
     * Returns the name used in documents.
     *
     * @return the lower-case name, never null
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
