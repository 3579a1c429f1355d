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

    private final TreeMap<Long, Held> mHeld = new TreeMap<>();
    private long mProcessed;

    /** An end, and the change of its job that has to be saved. */
    private record Held(EndReport end, long change) {}

    /** Takes an end in; returns false if it was processed before. */
    boolean accept(EndReport end) {
        if (end.number() <= mProcessed) {
            return false;
        }
        mProcessed = end.number();
        return true;
    }

    /** Keeps an end listed until a change of its job is saved. */
    void hold(EndReport end, long change) {
        mHeld.put(end.number(), new Held(end, change));
    }

    /** Takes note that changes of a job are saved. */
    void onSaved(JobId job, long change) {
        mHeld.values()
                .removeIf(
                        held ->
                                held.change() != UNREAD
                                        && held.change() <= change
                                        && held.end().task().job().equals(job));
    }

    /** Forgets what the changes were that the held ends wait for, as their jobs are given up. */
    void markUnread() {
        mHeld.replaceAll((number, held) -> new Held(held.end(), UNREAD));
    }

    /** Takes back the ends whose jobs were not known, now that all stored jobs are. */
    List<EndReport> takeUnread() {
        List<EndReport> unread = new ArrayList<>();
        for (Held held : mHeld.values()) {
            if (held.change() == UNREAD) {
                unread.add(held.end());
            }
        }
        unread.forEach(end -> mHeld.remove(end.number()));
        return unread;
    }

    /** Tests whether ends have to stay listed; a look would be answered with them at once. */
    boolean holds() {
        return !mHeld.isEmpty();
    }

    /** Returns the last end that the server may forget, and all before it. */
    long forgettable() {
        return mHeld.isEmpty() ? mProcessed : mHeld.firstKey() - 1;
    }

    void clear() {
        mHeld.clear();
        mProcessed = 0;
    }
}
