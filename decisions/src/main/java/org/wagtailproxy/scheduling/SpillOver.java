package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Decides which other data centre takes a job that finds no room here.
 *
 * <p>Answers a burst or a loss of servers in one data centre while others have free room. Only room
 * that was told to be free, beyond what has been sent there since, is used, so that a job is not
 * sent from queue to queue. Not safe for use by several threads.
 */
public final class SpillOver {

    /** Share of another data centre's free room that is left to its own callers. */
    private static final double RESERVED_SHARE = 0.3;

    /** Age beyond which a report is not believed; several reports come in that time. */
    private static final long MAX_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Map<DataCentre, Report> mReports = new TreeMap<>();

    /** What the leader of a data centre told, less what was sent there since. */
    private static final class Report {
        private double mFreeCpuMillis;
        private long mQueueMillis;
        private long mReceivedNanos;
    }

    /** Creates the decisions without a report. */
    public SpillOver() {}

    /**
     * Takes over a report.
     *
     * @param dataCentre whose, not null
     * @param freeCpuMillis its free room in thousandths of a core
     * @param queueMillis the wait of a job that came there, in milliseconds
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
     * Forgets the report of a data centre that is no longer reached.
     *
     * @param dataCentre whose, not null
     */
    public void removeReport(DataCentre dataCentre) {
        mReports.remove(dataCentre);
    }

    /**
     * Chooses the data centre that takes a job, and counts its room as taken.
     *
     * @param spec the job, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the data centre with the most free room, none if none has enough
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
