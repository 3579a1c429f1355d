package org.wagtailproxy.observe;

import java.util.Objects;
import org.wagtailproxy.limits.ExceededLimit;
import org.wagtailproxy.limits.LimitReports;

/**
 * Counts the clients of a listener that exceed limits, and logs them at a limited rate. Not
 * thread-safe.
 */
public final class LimitLog {

    private final String mListener;
    private final EventLog mLog;
    private final MetricsRecorder mMetrics;
    private final LimitReports mReports = new LimitReports();

    private LimitLog(String listener, EventLog log, MetricsRecorder metrics) {
        mListener = listener;
        mLog = log;
        mMetrics = metrics;
    }

    /**
     * Creates the log of a listener.
     *
     * @param listener the name of the listener for log lines and metrics, not null
     * @param log the log, not null
     * @param metrics the counters, not null
     * @return the log, never null
     */
    public static LimitLog of(String listener, EventLog log, MetricsRecorder metrics) {
        Objects.requireNonNull(listener, "listener");
        Objects.requireNonNull(log, "log");
        return new LimitLog(listener, log, Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Records a client that was refused or disconnected.
     *
     * @param limit the limit, not null
     * @param bound its bound, in the unit of the limit
     */
    public void record(ExceededLimit limit, long bound) {
        String name = limit.externalName();
        mMetrics.record(metrics -> metrics.clientLimited(mListener, name));
        mReports.record(limit, System.nanoTime())
                .forEach(
                        count ->
                                mLog.event(EventName.CLIENTS_LIMITED)
                                        .with(EventField.RESOURCE, mListener)
                                        .with(EventField.REASON, name)
                                        .with(EventField.BOUND, bound)
                                        .with(EventField.COUNT, count)
                                        .warn());
    }
}
