package org.wagtailproxy.observe;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Records what happens in metrics that are created some time after the start, since the metrics
 * library takes long to load. Safe for use by several threads.
 *
 * <p>Until then records wait; beyond a limit they are counted only.
 */
public final class MetricsRecorder {

    /** Records that may wait; more than an instance makes in the seconds before it opens. */
    private static final int MAX_PENDING_RECORDS = 20_000;

    private final Deque<Consumer<DispatchMetrics>> mPending = new ArrayDeque<>();
    private Option<DispatchMetrics> mMetrics = Option.none();
    private long mDropped;

    /** Creates a recorder whose metrics are not created yet. */
    public MetricsRecorder() {}

    /**
     * Records something.
     *
     * @param update changes the metrics, not null
     */
    public synchronized void record(Consumer<DispatchMetrics> update) {
        if (mMetrics.isDefined()) {
            update.accept(mMetrics.get());
        } else if (mPending.size() < MAX_PENDING_RECORDS) {
            mPending.add(update);
        } else {
            mDropped++;
        }
    }

    /**
     * Creates the metrics unless that was done, and records what waits.
     *
     * @return the metrics, never null
     */
    public synchronized DispatchMetrics open() {
        if (mMetrics.isEmpty()) {
            DispatchMetrics metrics = DispatchMetrics.of();
            mMetrics = Option.some(metrics);
            mPending.forEach(update -> update.accept(metrics));
            mPending.clear();
            metrics.recordsDropped(mDropped);
        }
        return mMetrics.get();
    }

    /**
     * Counts the records that found no place before the metrics were created.
     *
     * @return the number
     */
    public synchronized long dropped() {
        return mDropped;
    }
}
