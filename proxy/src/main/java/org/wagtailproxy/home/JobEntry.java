package org.wagtailproxy.home;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wagtailproxy.document.JobDocuments;
import org.wagtailproxy.job.ContentDigest;
import org.wagtailproxy.job.JobState;
import org.wagtailproxy.job.JobTracker;
import org.wagtailproxy.wire.EndRecord;

/**
 * Represents one job at its home instance: a tracker while it is open, then the record of its end.
 *
 * <p>Not thread-safe; guarded by the lock of its shard in {@link JobTable}.
 */
final class JobEntry {

    private final ContentDigest mDigest;
    private final List<CompletableFuture<JobReply>> mWaiters = new ArrayList<>();
    private final boolean mTransient;
    private JobTracker mTracker;
    private EndRecord mEnd;
    private boolean mSettled;
    private int mUnknownRetries;

    private JobEntry(ContentDigest digest, JobTracker tracker, EndRecord end, boolean isTransient) {
        mDigest = digest;
        mTracker = tracker;
        mEnd = end;
        mTransient = isTransient;
    }

    /**
     * Creates the entry of an open job. A transient one, for a single request, is removed once its
     * end was returned.
     */
    static JobEntry running(JobTracker tracker, boolean isTransient) {
        return new JobEntry(tracker.digest(), tracker, null, isTransient);
    }

    static JobEntry ended(EndRecord end) {
        String hex = end.getContentDigest().toStringUtf8();
        return new JobEntry(new ContentDigest(hex), null, end, false);
    }

    ContentDigest digest() {
        return mDigest;
    }

    boolean isTransient() {
        return mTransient;
    }

    /** Returns the tracker, null once the end is visible. */
    JobTracker tracker() {
        return mTracker;
    }

    Option<EndRecord> end() {
        return Option.of(mEnd);
    }

    /**
     * Marks the job as settled, which means that its end is determined. Returns true only on the
     * first call after that, so that the end is published once.
     */
    boolean markSettled() {
        if (mSettled || mTracker == null || !mTracker.isSettled()) {
            return false;
        }
        mSettled = true;
        return true;
    }

    boolean isSettled() {
        return mSettled;
    }

    int unknownRetries() {
        return mUnknownRetries;
    }

    void countUnknownRetry() {
        mUnknownRetries++;
    }

    /** Makes the end visible and returns the futures that wait for it. */
    List<CompletableFuture<JobReply>> publish(EndRecord end) {
        mEnd = end;
        mTracker = null;
        List<CompletableFuture<JobReply>> waiters = List.copyOf(mWaiters);
        mWaiters.clear();
        return waiters;
    }

    void addWaiter(CompletableFuture<JobReply> waiter) {
        mWaiters.add(waiter);
    }

    void removeWaiter(CompletableFuture<JobReply> waiter) {
        mWaiters.remove(waiter);
    }

    JobReply reply() {
        return mEnd != null
                ? JobReply.ended(mEnd.getDocument().toByteArray())
                : JobReply.running(JobDocuments.writeJob(mTracker, JobState.RUNNING));
    }

    JobReply traceReply() {
        return mEnd != null
                ? JobReply.ended(mEnd.getTrace().toByteArray())
                : JobReply.running(JobDocuments.writeTrace(mTracker, JobState.RUNNING));
    }
}
