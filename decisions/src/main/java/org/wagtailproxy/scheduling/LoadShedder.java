package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Finds the queued jobs that cannot be completed in time and are to be refused. */
final class LoadShedder {

    private final AdmissionControl mAdmission;

    LoadShedder(AdmissionControl admission) {
        mAdmission = admission;
    }

    /**
     * Returns the jobs to refuse, all of them unstarted. Sorts the queue. Refused jobs do not count
     * as load ahead of later ones.
     */
    List<ScheduledJob> unattainableJobs(
            List<ScheduledJob> queue, CapacityForecast forecast, long nowNanos) {
        queue.sort(QueueOrder.comparator(forecast.slowdowns().fastest(), nowNanos));
        List<ScheduledJob> unattainable = new ArrayList<>();
        double requiredCpuMillis = 0;
        double cpuWork = 0;
        for (ScheduledJob job : queue) {
            boolean refused =
                    job.isRefusable()
                            && mAdmission.shouldRefuse(
                                    job, requiredCpuMillis, cpuWork, forecast, nowNanos);
            if (refused) {
                unattainable.add(job);
            } else {
                requiredCpuMillis += job.waitingCpuMillis();
                cpuWork += job.waitingCpuWork(forecast.slowdowns().typical());
            }
        }
        return unattainable;
    }

    /** Checks whether a job is to be refused. The job need not be in the queue. */
    boolean isUnattainable(
            ScheduledJob job,
            Collection<ScheduledJob> queue,
            CapacityForecast forecast,
            long nowNanos) {
        Comparator<ScheduledJob> order =
                QueueOrder.comparator(forecast.slowdowns().fastest(), nowNanos);
        double requiredCpuMillis = 0;
        double cpuWork = 0;
        for (ScheduledJob other : queue) {
            if (other != job && order.compare(other, job) < 0) {
                requiredCpuMillis += other.waitingCpuMillis();
                cpuWork += other.waitingCpuWork(forecast.slowdowns().typical());
            }
        }
        return mAdmission.shouldRefuse(job, requiredCpuMillis, cpuWork, forecast, nowNanos);
    }

    /** Estimates how many milliseconds a job that arrived now would wait for capacity. */
    static double waitMillis(Collection<ScheduledJob> queue, CapacityForecast forecast) {
        double requiredCpuMillis = 0;
        double cpuWork = 0;
        for (ScheduledJob job : queue) {
            requiredCpuMillis += job.waitingCpuMillis();
            cpuWork += job.waitingCpuWork(forecast.slowdowns().typical());
        }
        return requiredCpuMillis == 0 ? 0 : forecast.waitMillis(requiredCpuMillis, cpuWork);
    }
}
