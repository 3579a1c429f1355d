package org.wagtailproxy.limits;

import io.vavr.control.Option;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides when an exceeded limit is logged. Counts in between, so that a flood of clients does not
 * flood the log. Not thread-safe.
 */
public final class LimitReports {

    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<ExceededLimit, Report> mReports = new EnumMap<>(ExceededLimit.class);

    private static final class Report {
        private long mLoggedNanos;
        private long mCount;
    }

    /** Creates the state in which no limit has been exceeded. */
    public LimitReports() {}

    /**
     * Records that a client has exceeded a limit.
     *
     * @param limit the limit, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return how often it was exceeded since it was last logged if it is to be logged now, else
     *     none
     */
    public Option<Long> record(ExceededLimit limit, long nowNanos) {
        Report report = mReports.get(limit);
        if (report == null) {
            report = new Report();
            report.mLoggedNanos = nowNanos - INTERVAL_NANOS;
            mReports.put(limit, report);
        }
        report.mCount++;
        if (nowNanos - report.mLoggedNanos < INTERVAL_NANOS) {
            return Option.none();
        }
        long count = report.mCount;
        report.mLoggedNanos = nowNanos;
        report.mCount = 0;
        return Option.some(count);
    }
}
