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
 * Gathers changes of stored jobs into few writes.
 *
 * <p>Answers hundreds of accepted jobs and ended tasks a second on a store that takes a few hundred
 * writes from all instances together: one write is under way at a time, and each takes all changes
 * that have gathered, up to a limit. A job that changes again before it is written is written once.
 * Not safe for use by several threads.
 */
public final class CommitQueue {

    /** Jobs in one write; the store takes 32 keys, one of which guards the others. */
    public static final int MAX_JOBS_PER_WRITE = 31;

    /** Pause between writes, so that one keeper uses half of the store's 400 writes a second. */
    private static final long MIN_WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final Map<JobId, JobChange> mPendingChanges = new LinkedHashMap<>();
    private List<JobChange> mInFlight = List.of();
    private long mNextWriteNanos = Long.MIN_VALUE;

    /** Creates an empty queue. */
    public CommitQueue() {}

    /**
     * Adds a change; an earlier one of the same job that is not under way is replaced.
     *
     * @param change the change, not null
     */
    public void add(JobChange change) {
        mPendingChanges.put(change.job().spec().id(), change);
    }

    /**
     * Takes the changes of the next write, unless one is under way or it is too early.
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
        while (changes.hasNext() && mInFlight.size() < MAX_JOBS_PER_WRITE) {
            mInFlight.add(changes.next());
            changes.remove();
        }
        mNextWriteNanos = nowNanos + MIN_WRITE_INTERVAL_NANOS;
        return Option.some(List.copyOf(mInFlight));
    }

    /**
     * Tests whether changes wait to be written and none is under way.
     *
     * @return true if {@link #nextBatch} is to be called again after a pause
     */
    public boolean hasPending() {
        return !mPendingChanges.isEmpty() && mInFlight.isEmpty();
    }

    /**
     * Takes note that the write under way is done.
     *
     * @return what it has saved, never null
     */
    public List<JobChange> completeBatch() {
        List<JobChange> saved = List.copyOf(mInFlight);
        mInFlight = List.of();
        return saved;
    }

    /**
     * Puts the changes under way back, because they were not written. Newer changes of the same
     * jobs stay.
     *
     * @param pauseMillis pause before the next write, in milliseconds
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

    /** Forgets everything, because another instance keeps the jobs. */
    public void clear() {
        mPendingChanges.clear();
        mInFlight = List.of();
    }
}
