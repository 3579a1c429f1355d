package org.wagtailproxy.observe;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Records updates of metrics that are created only some time after the start of the process,
 * because loading the metrics library takes long.
 *
 * <p>Earlier updates are queued and applied when the metrics are created. Updates beyond the limit
 * of the queue are dropped and counted. Safe for use by several threads.
 */
public final class MetricsRecorder {

    /**
     * Maximum number of queued updates; more than an instance produces in the seconds before the
     * metrics are created.
     */
    private static final int MAX_PENDING_RECORDS = 20_000;

    private final Deque<Consumer<DispatchMetrics>> mPending = new ArrayDeque<>();
    private Option<DispatchMetrics> mMetrics = Option.none();
    private long mDropped;

    /** Creates a recorder whose metrics do not exist yet. */
    public MetricsRecorder() {}

    /**
     * Applies an update to the metrics, or queues it until they exist.
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
     * Creates the metrics unless they exist, and applies the queued updates.
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
     * Returns how many updates were dropped before the metrics were created.
     *
     * @return the number of dropped updates
     */
    public synchronized long dropped() {
        return mDropped;
    }
}
