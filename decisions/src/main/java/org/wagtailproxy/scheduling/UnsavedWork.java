package org.wagtailproxy.scheduling;

import org.wagtailproxy.fleet.EndKind;
import org.wagtailproxy.fleet.EndReport;

/**
 * Decides whether the lease of a backend server has to expire before it may be extended again,
 * because the server holds runs or ends of stored jobs that this instance may not save.
 *
 * <p>Designed for a leader that is behind a partition together with the server. The next
 * coordinator cannot poll the server, so it takes the runs for ended, and the ends for void, once
 * their lease must have expired. One lease covers all that runs on the server, so if the leader
 * extended it for its other jobs, an end that is listed after the partition would count although
 * the task was started again. Not thread-safe.
 */
final class UnsavedWork {

    private final ServerRuns mRuns;

    /** Number of the last end that was listed when the lease expired. */
    private long mVoidUpTo;

    UnsavedWork(ServerRuns runs) {
        mRuns = runs;
    }

    /** Checks whether there are such runs, or ends that the lease has covered until now. */
    boolean exists() {
        return mRuns.hasStoredRuns() || count() > 0;
    }

    /** Returns the number of such ends. */
    int count() {
        return mRuns.ends().countRetained(this::counts);
    }

    /** Only ends of these kinds decide whether a task may be started again. */
    private boolean counts(EndReport end) {
        return end.number() > mVoidUpTo
                && StoredAttempts.isStored(end.attempt())
                && (end.kind() == EndKind.DONE || end.kind() == EndKind.FAILED);
    }

    /** Records that the lease has expired: what was listed before cannot count any more. */
    void onLeaseExpired() {
        mVoidUpTo = mRuns.ends().lastProcessed();
    }

    /** Records that the server has started again, and numbers its ends anew. */
    void onRestart() {
        mVoidUpTo = 0;
    }
}
