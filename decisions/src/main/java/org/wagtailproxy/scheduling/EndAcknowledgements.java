package org.wagtailproxy.scheduling;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.wagtailproxy.fleet.EndReport;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;

/**
 * Decides which of the ends that a backend server lists may be acknowledged. An end is the final
 * result of a run; the server lists it until it is acknowledged.
 *
 * <p>The end of a task of a stored job is acknowledged only after the job's change has been saved.
 * If a leader is lost right after such a task has ended, the next leader finds the end in the store
 * or still in the server's list. Until the authority of a former coordinator has lapsed, no end of
 * a stored job's run is acknowledged at all, as that coordinator may still look for it.
 */
final class EndAcknowledgements {

    /** Change number of an end whose job may be a stored one that has not been read yet. */
    static final long UNREAD = -1;

    private final TreeMap<Long, RetainedEnd> mRetained = new TreeMap<>();
    private long mLastProcessed;

    /** Number of the first end that a former coordinator may look for, 0 if there is none. */
    private long mFirstHeldBack;

    /** An end and the change of its job that has to be saved before the acknowledgement. */
    private record RetainedEnd(EndReport end, long changeNumber, long listedNanos) {

        private boolean isUnread() {
            return changeNumber == UNREAD;
        }
    }

    /** Marks an end as processed. Returns false if it already was. */
    boolean markProcessed(EndReport end) {
        if (end.number() <= mLastProcessed) {
            return false;
        }
        mLastProcessed = end.number();
        if (mFirstHeldBack == 0 && StoredAttempts.isStored(end.attempt())) {
            mFirstHeldBack = end.number();
        }
        return true;
    }

    /** Records that no former coordinator looks for the ends that have been processed so far. */
    void releaseHeldBack() {
        mFirstHeldBack = 0;
    }

    /**
     * Withholds the acknowledgement of an end until a change of its job is saved.
     *
     * @param listedNanos when the server has first listed the end
     */
    void retain(EndReport end, long changeNumber, long listedNanos) {
        mRetained.put(end.number(), new RetainedEnd(end, changeNumber, listedNanos));
    }

    /** Releases the ends of a job that wait for the given change or an earlier one. */
    void onSaved(JobId job, long changeNumber) {
        mRetained
                .values()
                .removeIf(
                        retained ->
                                !retained.isUnread()
                                        && retained.changeNumber() <= changeNumber
                                        && retained.end().task().job().equals(job));
    }

    /** Marks all retained ends as unread, because the stored jobs are abandoned. */
    void markUnread() {
        mRetained.replaceAll(
                (number, retained) ->
                        new RetainedEnd(retained.end(), UNREAD, retained.listedNanos()));
    }

    /**
     * Removes the unread ends of which it can be told by now whether their jobs are stored ones.
     *
     * @param isKnown checks an end and the time at which it was listed
     * @return the ends and these times, never null
     */
    Map<EndReport, Long> takeUnread(BiPredicate<EndReport, Long> isKnown) {
        Map<EndReport, Long> taken = new LinkedHashMap<>();
        for (RetainedEnd retained : List.copyOf(mRetained.values())) {
            if (retained.isUnread() && isKnown.test(retained.end(), retained.listedNanos())) {
                taken.put(retained.end(), retained.listedNanos());
                mRetained.remove(retained.end().number());
            }
        }
        return taken;
    }

    /** Checks whether the end of a run is retained. */
    boolean isRetained(TaskId task, int attempt) {
        return mRetained.values().stream()
                .map(RetainedEnd::end)
                .anyMatch(end -> end.task().equals(task) && end.attempt() == attempt);
    }

    boolean hasUnread() {
        return mRetained.values().stream().anyMatch(RetainedEnd::isUnread);
    }

    /** Counts the retained ends for which a predicate holds. */
    int countRetained(Predicate<EndReport> predicate) {
        int count = 0;
        for (RetainedEnd retained : mRetained.values()) {
            count += predicate.test(retained.end()) ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of the last end that the server has listed. */
    long lastProcessed() {
        return mLastProcessed;
    }

    /** Checks whether ends are retained. The server answers any poll at once with these ends. */
    boolean hasRetained() {
        return acknowledgedUpTo() < mLastProcessed;
    }

    /** Returns the number of the last end that the server may discard, with all before it. */
    long acknowledgedUpTo() {
        long unsaved = mRetained.isEmpty() ? mLastProcessed : mRetained.firstKey() - 1;
        return mFirstHeldBack == 0 ? unsaved : Math.min(unsaved, mFirstHeldBack - 1);
    }

    void clear() {
        mRetained.clear();
        mLastProcessed = 0;
        mFirstHeldBack = 0;
    }
}
