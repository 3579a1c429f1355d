package org.wagtailproxy.scheduling;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.workload.JobId;

/** Holds the jobs of a scheduler, and the ids of those that completed within the last seconds. */
final class JobRegistry {

    /** Time for which a completion is remembered, for callers that submit the job again. */
    private static final long COMPLETION_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** A time at which no stored job was known. */
    private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

    private final Map<JobId, ScheduledJob> mJobs = new HashMap<>();
    private final Map<JobId, Long> mCompletedNanos = new HashMap<>();
    private long mStoredJobsKnownNanos = NEVER_NANOS;
    private boolean mUnreadJobsPossible;

    /** Returns the job of an id, or null if it is not known. */
    ScheduledJob get(JobId id) {
        return mJobs.get(id);
    }

    /** Returns a view of all jobs. Jobs must not be added or removed while it is iterated. */
    Collection<ScheduledJob> all() {
        return Collections.unmodifiableCollection(mJobs.values());
    }

    /** Returns a copy, so that jobs can be removed during iteration. */
    List<ScheduledJob> snapshot() {
        return List.copyOf(mJobs.values());
    }

    void add(ScheduledJob job) {
        mJobs.put(job.mSpec.id(), job);
    }

    void remove(ScheduledJob job) {
        mJobs.remove(job.mSpec.id());
    }

    /**
     * Removes a job that has ended if none of its tasks is placed and all its changes are saved.
     */
    void removeIfIdle(ScheduledJob job) {
        boolean unsaved = job.mSpec.isStored() && job.hasUnsavedChanges();
        if (job.isEnded() && job.placedTasks() == 0 && !unsaved) {
            remove(job);
        }
    }

    void rememberCompletion(ScheduledJob job, long nowNanos) {
        mCompletedNanos.put(job.mSpec.id(), nowNanos);
    }

    boolean wasCompleted(JobId id) {
        return mCompletedNanos.containsKey(id);
    }

    void removeOldCompletions(long nowNanos) {
        mCompletedNanos
                .values()
                .removeIf(sinceNanos -> nowNanos - sinceNanos > COMPLETION_RETENTION_NANOS);
    }

    /** Records that all stored jobs are known that had been accepted at a time. */
    void recordStoredJobsKnown(long nanos) {
        mStoredJobsKnownNanos = Math.max(mStoredJobsKnownNanos, nanos);
    }

    /** Records that the stored jobs are no longer known, as they are coordinated elsewhere. */
    void forgetStoredJobs() {
        mStoredJobsKnownNanos = NEVER_NANOS;
    }

    /**
     * Sets whether stored jobs may exist whose attempts are numbered like others. Returns true if
     * that has just ceased to be possible.
     */
    boolean setUnreadJobsPossible(boolean possible) {
        boolean ceased = mUnreadJobsPossible && !possible;
        mUnreadJobsPossible = possible;
        return ceased;
    }

    /**
     * Checks whether a run belongs to an unknown job that may be stored. Another coordinator may
     * have accepted it after the stored jobs were read here.
     *
     * @param listedNanos when the server has listed the run or its end
     */
    boolean mayBeUnread(JobId id, int attempt, long listedNanos) {
        return (mUnreadJobsPossible || StoredAttempts.isStored(attempt))
                && listedNanos > mStoredJobsKnownNanos
                && !mJobs.containsKey(id)
                && !mCompletedNanos.containsKey(id);
    }

    void clear() {
        mJobs.clear();
        mCompletedNanos.clear();
        forgetStoredJobs();
    }
}
