package org.wagtailproxy.scheduling;

/**
 * Numbers the attempts at tasks of stored jobs, in a range that the attempts at other tasks never
 * reach. A backend server lists the number of each run, so any leader can tell which runs and ends
 * belong to stored jobs, without the store and without other instances.
 */
final class StoredAttempts {

    /**
     * Number above which attempts belong to stored jobs; far above the attempts that are made at a
     * task whose caller waits.
     */
    private static final int OFFSET = 1 << 20;

    private StoredAttempts() {}

    /**
     * Returns the number of an attempt.
     *
     * @param ordinal the position among the attempts at a task of a stored job, 0 if there was none
     */
    static int number(int ordinal) {
        return OFFSET + ordinal;
    }

    /** Checks whether an attempt belongs to a stored job. */
    static boolean isStored(int attempt) {
        return attempt > OFFSET;
    }
}
