package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Looks through the queue for jobs that will not be answered in time. */
final class LoadShedder {

    private final AdmissionControl mAdmission;

    LoadShedder(AdmissionControl admission) {
        mAdmission = admission;
    }

    /** Returns the jobs to refuse, none of which has begun. The queue is sorted by this. */
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
                cpuWork += job.waitingCpuWork(forecast.slowdowns().usual());
            }
        }
        return unattainable;
    }

    /** Tests whether one job is to be refused, which may be in the queue or not. */
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
                cpuWork += other.waitingCpuWork(forecast.slowdowns().usual());
            }
        }
        return mAdmission.shouldRefuse(job, requiredCpuMillis, cpuWork, forecast, nowNanos);
    }

    /** Estimates how long a job that came now would wait for room. */
    static double waitMillis(Collection<ScheduledJob> queue, CapacityForecast forecast) {
        double requiredCpuMillis = 0;
        double cpuWork = 0;
        for (ScheduledJob job : queue) {
            requiredCpuMillis += job.waitingCpuMillis();
            cpuWork += job.waitingCpuWork(forecast.slowdowns().usual());
        }
        return requiredCpuMillis == 0 ? 0 : forecast.waitMillis(requiredCpuMillis, cpuWork);
    }
}
