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
    List<ScheduledJob> hopeless(
            List<ScheduledJob> queue, CapacityForecast projection, long nowNanos) {
        queue.sort(QueueOrder.at(projection.paces().fastest(), nowNanos));
        List<ScheduledJob> hopeless = new ArrayList<>();
        double wanted = 0;
        double work = 0;
        for (ScheduledJob job : queue) {
            boolean refused =
                    job.isRefusable()
                            && mAdmission.refuses(job, wanted, work, projection, nowNanos);
            if (refused) {
                hopeless.add(job);
            } else {
                wanted += job.waitingCpuMillis();
                work += job.waitingWork(projection.paces().usual());
            }
        }
        return hopeless;
    }

    /** Tests whether one job is to be refused, which may be in the queue or not. */
    boolean isHopeless(
            ScheduledJob job,
            Collection<ScheduledJob> queue,
            CapacityForecast projection,
            long nowNanos) {
        Comparator<ScheduledJob> order = QueueOrder.at(projection.paces().fastest(), nowNanos);
        double wanted = 0;
        double work = 0;
        for (ScheduledJob other : queue) {
            if (other != job && order.compare(other, job) < 0) {
                wanted += other.waitingCpuMillis();
                work += other.waitingWork(projection.paces().usual());
            }
        }
        return mAdmission.refuses(job, wanted, work, projection, nowNanos);
    }

    /** Estimates how long a job that came now would wait for room. */
    static double waitMillis(Collection<ScheduledJob> queue, CapacityForecast projection) {
        double wanted = 0;
        double work = 0;
        for (ScheduledJob job : queue) {
            wanted += job.waitingCpuMillis();
            work += job.waitingWork(projection.paces().usual());
        }
        return wanted == 0 ? 0 : projection.waitMillis(wanted, work);
    }
}
