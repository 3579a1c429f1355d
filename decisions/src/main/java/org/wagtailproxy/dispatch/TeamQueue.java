package org.wagtailproxy.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * The queued tasks of one team, ordered by arrival or by highest response ratio.
 *
 * <p>The response ratio is the time waited against the declared run time: short tasks overtake long
 * ones, and every task is served once it has waited long enough. Tasks of like length share a
 * bucket, in which they keep the order of their arrival.
 */
final class TeamQueue {

    /** Waiting time that every task is credited with, so that shorter ones go first at once. */
    private static final double INITIAL_WAIT_NANOS = 1e6;

    private static final int BUCKETS = Long.SIZE;

    private final List<Deque<QueuedTask>> mBuckets = new ArrayList<>(BUCKETS);
    private int mSize;

    TeamQueue() {
        for (int index = 0; index < BUCKETS; index++) {
            mBuckets.add(new ArrayDeque<>(0));
        }
    }

    int size() {
        return mSize;
    }

    void addLast(QueuedTask task) {
        bucket(task).addLast(task);
        mSize++;
    }

    void addFirst(QueuedTask task) {
        bucket(task).addFirst(task);
        mSize++;
    }

    /** Returns the task to serve next, null if none is queued. */
    QueuedTask peek(boolean byRatio, long nowNanos) {
        QueuedTask best = null;
        double highest = Double.NEGATIVE_INFINITY;
        for (Deque<QueuedTask> bucket : mBuckets) {
            QueuedTask head = bucket.peekFirst();
            if (head == null) {
                continue;
            }
            double waited = nowNanos - head.queuedNanos() + INITIAL_WAIT_NANOS;
            double rank = byRatio ? waited / head.declaredMilliseconds() : waited;
            if (rank > highest) {
                highest = rank;
                best = head;
            }
        }
        return best;
    }

    void removeFirst(QueuedTask task) {
        bucket(task).removeFirst();
        mSize--;
    }

    int removeIf(Predicate<QueuedTask> condition) {
        int before = mSize;
        mBuckets.forEach(bucket -> bucket.removeIf(condition));
        mSize = mBuckets.stream().mapToInt(Deque::size).sum();
        return before - mSize;
    }

    private Deque<QueuedTask> bucket(QueuedTask task) {
        return mBuckets.get(Long.SIZE - 1 - Long.numberOfLeadingZeros(task.declaredMilliseconds()));
    }
}
