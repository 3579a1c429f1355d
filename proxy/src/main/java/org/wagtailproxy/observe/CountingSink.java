package org.wagtailproxy.observe;

import java.util.Objects;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;

/** Passes lines on to another sink and counts them by event. */
public final class CountingSink implements LineSink {

    private final LineSink mTarget;
    private final MetricsRecorder mMetrics;

    private CountingSink(LineSink target, MetricsRecorder metrics) {
        mTarget = target;
        mMetrics = metrics;
    }

    /**
     * Creates a sink in front of another one.
     *
     * @param target receives the lines, not null
     * @param metrics counts the lines, not null
     * @return the sink, never null
     */
    public static CountingSink of(LineSink target, MetricsRecorder metrics) {
        Objects.requireNonNull(target, "target");
        return new CountingSink(target, Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void write(Level level, StringMapMessage message, Throwable cause) {
        String event = message.get(EventLog.EVENT);
        mMetrics.record(metrics -> metrics.lineLogged(event));
        mTarget.write(level, message, cause);
    }
}
