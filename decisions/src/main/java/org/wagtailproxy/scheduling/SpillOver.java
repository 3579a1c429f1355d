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
    private static final double KEPT_SHARE = 0.3;

    /** Age beyond which a report is not believed; several reports come in that time. */
    private static final long OLDEST_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Map<DataCentre, Report> mReports = new TreeMap<>();

    /** What the leader of a data centre told, less what was sent there since. */
    private static final class Report {
        private double mFreeCpuMillis;
        private long mQueueMillis;
        private long mAtNanos;
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
        report.mFreeCpuMillis = freeCpuMillis * (1 - KEPT_SHARE);
        report.mQueueMillis = queueMillis;
        report.mAtNanos = nowNanos;
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
        double need = 0;
        for (StepSpec step : spec.steps()) {
            need = Math.max(need, (double) step.tasks() * step.demand().cpuMillis());
        }
        DataCentre best = null;
        double mostFree = need;
        for (Map.Entry<DataCentre, Report> each : mReports.entrySet()) {
            Report report = each.getValue();
            boolean fresh = nowNanos - report.mAtNanos < OLDEST_NANOS;
            if (fresh && report.mQueueMillis == 0 && report.mFreeCpuMillis > mostFree) {
                best = each.getKey();
                mostFree = report.mFreeCpuMillis;
            }
        }
        if (best != null) {
            mReports.get(best).mFreeCpuMillis -= need;
        }
        return Option.of(best);
    }
}
