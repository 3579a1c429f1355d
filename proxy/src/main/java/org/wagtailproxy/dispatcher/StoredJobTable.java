package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.wagtailproxy.limits.JobMemory;
import org.wagtailproxy.scheduling.JobPhase;
import org.wagtailproxy.workload.JobCondition;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;

/**
 * The stored jobs that a coordinator knows, and the memory that they take up. Confined to the event
 * loop.
 */
final class StoredJobTable {

    private final Map<JobId, StoredJobEntry> mEntries = new HashMap<>();
    private final JobMemory mMemory;
    private final Function<StoredJobEntry, JobPhase> mPhases;

    /**
     * Creates an empty table.
     *
     * @param phases returns the phase in which a job is according to its scheduler
     */
    StoredJobTable(JobMemory memory, Function<StoredJobEntry, JobPhase> phases) {
        mMemory = memory;
        mPhases = phases;
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    int size() {
        return mEntries.size();
    }

    Collection<StoredJobEntry> all() {
        return mEntries.values();
    }

    /** Returns a job, or null if it is not known. */
    StoredJobEntry get(JobId id) {
        return mEntries.get(id);
    }

    JobMemory memory() {
        return mMemory;
    }

    void add(StoredJobEntry entry) {
        mEntries.put(entry.mJob.spec().id(), entry);
        updateMemory(entry);
    }

    /** Counts what a job takes up after it has changed. */
    void updateMemory(StoredJobEntry entry) {
        mMemory.release(entry.mMemoryBytes);
        entry.mMemoryBytes = entry.mJob.memoryBytes();
        mMemory.add(entry.mMemoryBytes);
    }

    void remove(JobId id) {
        mMemory.release(mEntries.remove(id).mMemoryBytes);
    }

    /** Removes and returns all jobs. */
    List<StoredJobEntry> removeAll() {
        List<StoredJobEntry> entries = new ArrayList<>(mEntries.values());
        mEntries.clear();
        mMemory.release(mMemory.usedBytes());
        return entries;
    }

    /** Checks whether a state is saved in which a job stays. */
    boolean hasSavedEnd(JobId id) {
        StoredJobEntry entry = mEntries.get(id);
        return entry != null && entry.mSavedState.exists(state -> state != StoredJob.State.OPEN);
    }

    /** Checks whether all tasks of a running job are placed, so that its end is likely to come. */
    boolean isEnding(JobId id) {
        // A job that its scheduler does not know any more has ended.
        return condition(id) == JobCondition.RUNNING
                && mPhases.apply(mEntries.get(id)) != JobPhase.BEGUN;
    }

    /** Returns the condition of a job. */
    JobCondition condition(JobId id) {
        StoredJobEntry entry = mEntries.get(id);
        if (entry == null || entry.mSavedState.isEmpty()) {
            return entry == null ? JobCondition.GONE : JobCondition.UNAVAILABLE;
        }
        return switch (entry.mSavedState.get()) {
            case COMPLETE -> JobCondition.COMPLETE;
            case FAILED -> JobCondition.FAILED;
            case CANCELLED -> JobCondition.CANCELLED;
            case OPEN ->
                    mPhases.apply(entry) == JobPhase.WAITING
                            ? JobCondition.QUEUED
                            : JobCondition.RUNNING;
        };
    }

    /** Returns the number of accepted, unstarted jobs of a queue. */
    int countUnstarted(String queue) {
        int pending = 0;
        for (Map.Entry<JobId, StoredJobEntry> each : mEntries.entrySet()) {
            boolean isInQueue = each.getValue().mJob.spec().storedIn().equals(queue);
            pending += isInQueue && condition(each.getKey()) == JobCondition.QUEUED ? 1 : 0;
        }
        return pending;
    }
}
