package org.wagtailproxy.dispatcher;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailproxy.limits.JobMemory;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * The jobs that a leader has not ended, by their ids, and the memory that they take up. Confined to
 * the event loop.
 */
final class PendingJobs {

    private static final WorkOutcome MEMORY_FULL = WorkOutcome.refused("job memory full", 1000);

    private final Map<JobId, PendingJob> mJobs = new HashMap<>();
    private final JobMemory mMemory;

    PendingJobs(long maxMemoryBytes) {
        mMemory = JobMemory.of(maxMemoryBytes);
    }

    /**
     * Returns the refusal of a job for which there is no memory. A job that an earlier leader may
     * have started is not refused, since its tasks may be running.
     */
    Option<WorkOutcome> refusal(WorkSpec spec, WorkProgress progress) {
        boolean mayBeRefused = !contains(spec.id()) && progress.highestAttempt() == 0;
        return mayBeRefused && !mMemory.hasCapacity(spec.memoryBytes())
                ? Option.some(MEMORY_FULL)
                : Option.none();
    }

    /** Returns a job, which is added if it is not pending. */
    PendingJob getOrAdd(WorkSpec spec) {
        PendingJob existing = mJobs.get(spec.id());
        if (existing != null) {
            return existing;
        }
        PendingJob added = new PendingJob(spec);
        mJobs.put(spec.id(), added);
        mMemory.add(added.memoryBytes());
        return added;
    }

    /** Returns a job, or null if it is not pending. */
    PendingJob get(JobId id) {
        return mJobs.get(id);
    }

    boolean contains(JobId id) {
        return mJobs.containsKey(id);
    }

    boolean isEmpty() {
        return mJobs.isEmpty();
    }

    /** Removes a job and returns it, or null if it is not pending. */
    PendingJob remove(JobId id) {
        PendingJob removed = mJobs.remove(id);
        if (removed != null) {
            mMemory.release(removed.memoryBytes());
        }
        return removed;
    }

    /** Removes all jobs and returns them. */
    List<Map.Entry<JobId, PendingJob>> removeAll() {
        List<Map.Entry<JobId, PendingJob>> all = all();
        all.forEach(each -> remove(each.getKey()));
        return all;
    }

    /** Returns a copy of all jobs with their ids. */
    List<Map.Entry<JobId, PendingJob>> all() {
        return mJobs.entrySet().stream().map(Map.Entry::copyOf).toList();
    }
}
