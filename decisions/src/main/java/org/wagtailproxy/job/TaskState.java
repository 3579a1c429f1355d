package org.wagtailproxy.job;

import java.util.Locale;

/** Specifies the state of one task. */
public enum TaskState {
    /** Waiting in the queue; not started. */
    QUEUED(false),
    /** Sent to a backend server. */
    SENT(false),
    /** Answered by a backend server. */
    ANSWERED(true),
    /** Ended without ever having been started. */
    NOT_RUN(true),
    /** Ended by a failure that the backend server reported. */
    FAILED(true),
    /** Sent, but whether it was run is not known. */
    OUTCOME_UNKNOWN(true);

    private final boolean mFinal;

    TaskState(boolean isFinal) {
        mFinal = isFinal;
    }

    /**
     * Checks whether the state is final.
     *
     * @return true if nothing more happens to the task
     */
    public boolean isFinal() {
        return mFinal;
    }

    /**
     * Returns the name used in documents.
     *
     * @return the lower-case name with hyphens, never null
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
