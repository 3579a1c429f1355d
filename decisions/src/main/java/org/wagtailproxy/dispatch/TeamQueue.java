package org.wagtailproxy.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * Holds the queued tasks of one team, ordered by arrival or by highest response ratio.
 *
 * <p>The response ratio is the time waited divided by the declared run time. Short tasks thus
 * overtake long ones, and every task is served once it has waited long enough. Tasks whose declared
 * run times lie between the same powers of two share a bucket, in which they keep the order of
 * their arrival.
 */
final class TeamQueue {

    /**
     * Waiting time added to that of every task, so that of tasks that have just been queued the
     * shorter ones go first.
     */
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
        QueuedTask selected = null;
        double highestRank = Double.NEGATIVE_INFINITY;
        for (Deque<QueuedTask> bucket : mBuckets) {
            QueuedTask head = bucket.peekFirst();
            if (head == null) {
                continue;
            }
            double waitedNanos = nowNanos - head.queuedNanos() + INITIAL_WAIT_NANOS;
            double rank = byRatio ? waitedNanos / head.declaredMilliseconds() : waitedNanos;
            if (rank > highestRank) {
                highestRank = rank;
                selected = head;
            }
        }
        return selected;
    }

    void removeFirst(QueuedTask task) {
        bucket(task).removeFirst();
        mSize--;
    }

    int removeIf(Predicate<QueuedTask> condition) {
        int sizeBefore = mSize;
        mBuckets.forEach(bucket -> bucket.removeIf(condition));
        mSize = mBuckets.stream().mapToInt(Deque::size).sum();
        return sizeBefore - mSize;
    }

    private Deque<QueuedTask> bucket(QueuedTask task) {
        return mBuckets.get(Long.SIZE - 1 - Long.numberOfLeadingZeros(task.declaredMilliseconds()));
    }
}
