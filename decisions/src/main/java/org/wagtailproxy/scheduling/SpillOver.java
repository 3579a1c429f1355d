package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Selects another data centre for a job for which capacity is insufficient in this one.
 *
 * <p>Designed for a burst or a loss of servers in one data centre while others have free capacity.
 * Only capacity that was reported to be free, less what has been sent there since, is used, so that
 * a job is not forwarded from queue to queue. Not thread-safe.
 */
public final class SpillOver {

    /** Share of another data centre's free capacity that is reserved for its own callers. */
    private static final double RESERVED_SHARE = 0.3;

    /** Age from which a report is ignored. Several reports arrive within this time. */
    private static final long MAX_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Map<DataCentre, Report> mReports = new TreeMap<>();

    /** Capacity that the leader of a data centre reported, less what was sent there since. */
    private static final class Report {
        private double mFreeCpuMillis;
        private long mQueueMillis;
        private long mReceivedNanos;
    }

    /** Creates an instance without reports. */
    public SpillOver() {}

    /**
     * Updates the report of a data centre.
     *
     * @param dataCentre the data centre, not null
     * @param freeCpuMillis its free CPU capacity, in thousandths of a core
     * @param queueMillis the estimated wait of a job that arrives there, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void updateReport(
            DataCentre dataCentre, long freeCpuMillis, long queueMillis, long nowNanos) {
        Report report = mReports.computeIfAbsent(dataCentre, name -> new Report());
        report.mFreeCpuMillis = freeCpuMillis * (1 - RESERVED_SHARE);
        report.mQueueMillis = queueMillis;
        report.mReceivedNanos = nowNanos;
    }

    /**
     * Removes the report of a data centre that is no longer reachable.
     *
     * @param dataCentre the data centre, not null
     */
    public void removeReport(DataCentre dataCentre) {
        mReports.remove(dataCentre);
    }

    /**
     * Selects the data centre that takes a job and deducts the job's demand from its free capacity.
     * Data centres with a queue or an old report are left out.
     *
     * @param spec the job, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the data centre with the most free capacity, none if none has enough
     */
    public Option<DataCentre> chooseDataCentre(WorkSpec spec, long nowNanos) {
        double requiredCpuMillis = 0;
        for (StepSpec step : spec.steps()) {
            requiredCpuMillis =
                    Math.max(requiredCpuMillis, (double) step.tasks() * step.demand().cpuMillis());
        }
        DataCentre best = null;
        double maxFreeCpuMillis = requiredCpuMillis;
        for (Map.Entry<DataCentre, Report> entry : mReports.entrySet()) {
            Report report = entry.getValue();
            boolean current = nowNanos - report.mReceivedNanos < MAX_REPORT_AGE_NANOS;
            if (current && report.mQueueMillis == 0 && report.mFreeCpuMillis > maxFreeCpuMillis) {
                best = entry.getKey();
                maxFreeCpuMillis = report.mFreeCpuMillis;
            }
        }
        if (best != null) {
            mReports.get(best).mFreeCpuMillis -= requiredCpuMillis;
        }
        return Option.of(best);
    }
}
