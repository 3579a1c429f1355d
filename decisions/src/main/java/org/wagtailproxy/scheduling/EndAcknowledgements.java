package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.wagtailproxy.fleet.EndReport;
import org.wagtailproxy.workload.JobId;

/**
 * The ends that one backend server lists: which have been processed, and which have to stay listed
 * until what they say is saved.
 *
 * <p>Answers the loss of a leader right after a task of a stored job has ended: the next leader
 * finds the end in the store or still in the server's list.
 */
final class EndAcknowledgements {

    /** Marks an end of a job that may be a stored one that has not been read yet. */
    static final long UNREAD = -1;

    private final TreeMap<Long, RetainedEnd> mRetained = new TreeMap<>();
    private long mLastProcessed;

    /** An end, and the change of its job that has to be saved. */
    private record RetainedEnd(EndReport end, long change) {}

    /** Takes an end in; returns false if it was processed before. */
    boolean markProcessed(EndReport end) {
        if (end.number() <= mLastProcessed) {
            return false;
        }
        mLastProcessed = end.number();
        return true;
    }

    /** Keeps an end listed until a change of its job is saved. */
    void retain(EndReport end, long change) {
        mRetained.put(end.number(), new RetainedEnd(end, change));
    }

    /** Takes note that changes of a job are saved. */
    void onSaved(JobId job, long change) {
        mRetained
                .values()
                .removeIf(
                        retained ->
                                retained.change() != UNREAD
                                        && retained.change() <= change
                                        && retained.end().task().job().equals(job));
    }

    /** Forgets what the changes were that the held ends wait for, as their jobs are given up. */
    void markUnread() {
        mRetained.replaceAll((number, retained) -> new RetainedEnd(retained.end(), UNREAD));
    }

    /** Takes back the ends whose jobs were not known, now that all stored jobs are. */
    List<EndReport> takeUnread() {
        List<EndReport> unread = new ArrayList<>();
        for (RetainedEnd retained : mRetained.values()) {
            if (retained.change() == UNREAD) {
                unread.add(retained.end());
            }
        }
        unread.forEach(end -> mRetained.remove(end.number()));
        return unread;
    }

    /** Tests whether ends have to stay listed; a look would be answered with them at once. */
    boolean hasRetained() {
        return !mRetained.isEmpty();
    }

    /** Returns the last end that the server may forget, and all before it. */
    long acknowledgedUpTo() {
        return mRetained.isEmpty() ? mLastProcessed : mRetained.firstKey() - 1;
    }

    void clear() {
        mRetained.clear();
        mLastProcessed = 0;
    }
}
