package org.wagtailproxy.storage;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.workload.JobId;

/**
 * Collects changes of stored jobs into few writes to the store.
 *
 * <p>Designed for hundreds of accepted jobs and ended tasks a second on a store that handles a few
 * hundred writes a second from all instances together: at most one write is in flight, and each
 * contains all changes collected so far, up to a limit. A job that changes again before it is
 * written is written once. Not thread-safe.
 */
public final class CommitQueue {

    /**
     * Maximum number of jobs in one write. The store accepts 32 keys in a transaction, one of which
     * is the guard, the item whose revision is a condition of all writes of stored jobs.
     */
    public static final int MAX_JOBS_PER_WRITE = 31;

    /**
     * Minimum time between writes, so that one coordinator uses half of the store's 400 writes a
     * second.
     */
    private static final long MIN_WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /**
     * Memory of the jobs of a write above which no further one is added. A write is encoded as a
     * whole, which takes up several times its size.
     */
    private static final long MAX_WRITE_MEMORY_BYTES = 512 * 1024;

    private final Map<JobId, JobChange> mPendingChanges = new LinkedHashMap<>();
    private List<JobChange> mInFlight = List.of();
    private long mNextWriteNanos = Long.MIN_VALUE;

    /** Creates an empty queue. */
    public CommitQueue() {}

    /**
     * Adds a change; an earlier one of the same job that is not in flight is replaced.
     *
     * @param change the change, not null
     */
    public void add(JobChange change) {
        mPendingChanges.put(change.job().spec().id(), change);
    }

    /**
     * Removes and returns the changes of the next write, unless a write is in flight or the minimum
     * time between writes has not elapsed.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the changes, none if nothing is to be written now
     */
    public Option<List<JobChange>> nextBatch(long nowNanos) {
        if (mPendingChanges.isEmpty() || !mInFlight.isEmpty() || nowNanos < mNextWriteNanos) {
            return Option.none();
        }
        mInFlight = new ArrayList<>();
        Iterator<JobChange> changes = mPendingChanges.values().iterator();
        long memoryBytes = 0;
        while (changes.hasNext()
                && mInFlight.size() < MAX_JOBS_PER_WRITE
                && memoryBytes < MAX_WRITE_MEMORY_BYTES) {
            JobChange change = changes.next();
            mInFlight.add(change);
            memoryBytes += change.job().memoryBytes();
            changes.remove();
        }
        mNextWriteNanos = nowNanos + MIN_WRITE_INTERVAL_NANOS;
        return Option.some(List.copyOf(mInFlight));
    }

    /**
     * Checks whether changes are waiting and no write is in flight.
     *
     * @return true if {@link #nextBatch} is to be called again later
     */
    public boolean hasPending() {
        return !mPendingChanges.isEmpty() && mInFlight.isEmpty();
    }

    /**
     * Checks whether a write is in flight.
     *
     * @return true until {@link #completeBatch} or {@link #requeueBatch} is called
     */
    public boolean isWriting() {
        return !mInFlight.isEmpty();
    }

    /**
     * Records that the write in flight has completed.
     *
     * @return the saved changes, never null
     */
    public List<JobChange> completeBatch() {
        List<JobChange> saved = List.copyOf(mInFlight);
        mInFlight = List.of();
        return saved;
    }

    /**
     * Returns the changes in flight to the queue, because they were not written. Newer changes of
     * the same jobs are kept.
     *
     * @param pauseMillis delay before the next write, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void requeueBatch(long pauseMillis, long nowNanos) {
        Map<JobId, JobChange> newerChanges = new HashMap<>(mPendingChanges);
        Map<JobId, JobChange> requeued = new LinkedHashMap<>();
        for (JobChange change : mInFlight) {
            JobId id = change.job().spec().id();
            requeued.put(id, newerChanges.getOrDefault(id, change));
        }
        mPendingChanges.forEach(requeued::putIfAbsent);
        mPendingChanges.clear();
        mPendingChanges.putAll(requeued);
        mInFlight = List.of();
        mNextWriteNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
    }

    /** Removes all changes, because another instance coordinates the stored jobs. */
    public void clear() {
        mPendingChanges.clear();
        mInFlight = List.of();
    }
}
