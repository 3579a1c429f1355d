package org.wagtailproxy.scheduling;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.workload.JobId;

/** The jobs of a scheduler, and those that were complete a short time ago. */
final class JobRegistry {

    /** Time for which the outcome of a complete job is kept for a caller that asks again. */
    private static final long COMPLETION_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<JobId, ScheduledJob> mJobs = new HashMap<>();
    private final Map<JobId, Long> mCompletedNanos = new HashMap<>();
    private boolean mStoredJobsRead;
    private boolean mUnreadJobsPossible;

    /** Returns a job, null if it is not known. */
    ScheduledJob get(JobId id) {
        return mJobs.get(id);
    }

    /** Returns all jobs; none may be added or removed while they are walked through. */
    Collection<ScheduledJob> all() {
        return Collections.unmodifiableCollection(mJobs.values());
    }

    /** Returns a copy, so that jobs can be removed while it is walked through. */
    List<ScheduledJob> snapshot() {
        return List.copyOf(mJobs.values());
    }

    void add(ScheduledJob job) {
        mJobs.put(job.mSpec.id(), job);
    }

    void remove(ScheduledJob job) {
        mJobs.remove(job.mSpec.id());
    }

    /** Removes a job that has ended once nothing of it runs and nothing has to be saved. */
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

    void forgetOldCompletions(long nowNanos) {
        mCompletedNanos
                .values()
                .removeIf(sinceNanos -> nowNanos - sinceNanos > COMPLETION_RETENTION_NANOS);
    }

    void setStoredJobsRead(boolean read) {
        mStoredJobsRead = read;
    }

    /** Sets whether there may be stored jobs; returns true if that was so and is no longer. */
    boolean setUnreadJobsPossible(boolean possible) {
        boolean ceased = mUnreadJobsPossible && !possible;
        mUnreadJobsPossible = possible;
        return ceased;
    }

    /** Tests whether a job that is not known here may be a stored one that was not read yet. */
    boolean mayBeUnread(JobId id) {
        return mUnreadJobsPossible
                && !mStoredJobsRead
                && !mJobs.containsKey(id)
                && !mCompletedNanos.containsKey(id);
    }

    void clear() {
        mJobs.clear();
        mCompletedNanos.clear();
        mStoredJobsRead = false;
    }
}
