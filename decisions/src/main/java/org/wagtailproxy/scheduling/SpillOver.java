package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.fleet.Evacuations;
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
    private Evacuations mEvacuations = Evacuations.UNKNOWN;

    /** Capacity that the leader of a data centre reported, less what was sent there since. */
    private static final class Report {
        private double mFreeCpuMillis;
        private long mQueueMillis;
        private long mReceivedNanos;

        private boolean isLessLoadedThan(Report other) {
            return mQueueMillis == other.mQueueMillis
                    ? mFreeCpuMillis > other.mFreeCpuMillis
                    : mQueueMillis < other.mQueueMillis;
        }
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
        double requiredCpuMillis = requiredCpuMillis(spec);
        DataCentre best = null;
        double maxFreeCpuMillis = requiredCpuMillis;
        for (Map.Entry<DataCentre, Report> entry : mReports.entrySet()) {
            Report report = entry.getValue();
            boolean usable = isUsable(entry.getKey(), report, nowNanos);
            if (usable && report.mQueueMillis == 0 && report.mFreeCpuMillis > maxFreeCpuMillis) {
                best = entry.getKey();
                maxFreeCpuMillis = report.mFreeCpuMillis;
            }
        }
        if (best != null) {
            mReports.get(best).mFreeCpuMillis -= requiredCpuMillis;
        }
        return Option.of(best);
    }

    /**
     * Updates the data centres whose backend servers get no new tasks, which take no jobs.
     *
     * @param evacuations the evacuated data centres, not null
     */
    public void updateEvacuations(Evacuations evacuations) {
        mEvacuations = evacuations;
    }

    /**
     * Selects the data centre that takes a job of an evacuated one and deducts the job's demand
     * from its free capacity. The callers of the evacuated data centre have nothing else, so no
     * capacity is reserved for others, and a queue is no reason to leave a data centre out if the
     * job can wait for it.
     *
     * @param spec the job, not null
     * @param maxWaitMillis the time for which the job can wait, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     * @return the data centre with the shortest queue, then with the most free capacity; none if no
     *     queue is short enough
     */
    public Option<DataCentre> chooseForEvacuated(WorkSpec spec, long maxWaitMillis, long nowNanos) {
        DataCentre best = null;
        Report bestReport = null;
        for (Map.Entry<DataCentre, Report> entry : mReports.entrySet()) {
            Report report = entry.getValue();
            if (!isUsable(entry.getKey(), report, nowNanos)
                    || report.mQueueMillis > Math.max(0, maxWaitMillis)) {
                continue;
            }
            if (bestReport == null || report.isLessLoadedThan(bestReport)) {
                best = entry.getKey();
                bestReport = report;
            }
        }
        if (bestReport != null) {
            bestReport.mFreeCpuMillis -= requiredCpuMillis(spec);
        }
        return Option.of(best);
    }

    /**
     * Checks whether it is known that no data centre can start a job of an evacuated one in time.
     *
     * @param others the other data centres, not null
     * @param maxWaitMillis the time for which the job can wait, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     * @return false if one can, or if one that is not evacuated has not reported lately
     */
    public boolean isUnattainable(
            Collection<DataCentre> others, long maxWaitMillis, long nowNanos) {
        for (DataCentre other : others) {
            if (mEvacuations.contains(other)) {
                continue;
            }
            Report report = mReports.get(other);
            boolean known = report != null && isUsable(other, report, nowNanos);
            if (!known || report.mQueueMillis <= Math.max(0, maxWaitMillis)) {
                return false;
            }
        }
        return true;
    }

    private boolean isUsable(DataCentre dataCentre, Report report, long nowNanos) {
        boolean current = nowNanos - report.mReceivedNanos < MAX_REPORT_AGE_NANOS;
        return current && !mEvacuations.contains(dataCentre);
    }

    private static double requiredCpuMillis(WorkSpec spec) {
        double requiredCpuMillis = 0;
        for (StepSpec step : spec.steps()) {
            requiredCpuMillis =
                    Math.max(requiredCpuMillis, (double) step.tasks() * step.demand().cpuMillis());
        }
        return requiredCpuMillis;
    }
}
