package org.wagtailproxy.scheduling;

import java.util.Comparator;
import java.util.concurrent.TimeUnit;

/**
 * Defines the order in which jobs get capacity.
 *
 * <p>Designed for a load that exceeds the capacity: jobs that can still meet their objective come
 * before those that cannot, then jobs are ordered by priority, and jobs of the same priority by
 * their latest start. A started job comes before unstarted ones of its priority, because its done
 * tasks are of no use before its last task ends.
 */
final class QueueOrder {

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private QueueOrder() {}

    /** Returns the latest time at which a job can start and still meet its objective. */
    static long latestStartNanos(ScheduledJob job, double fastestSlowdown) {
        return job.mObjectiveNanos
                - (long) (fastestSlowdown * job.mSpec.criticalPathMillis() * NANOS_PER_MILLI);
    }

    static boolean isOnTime(ScheduledJob job, double fastestSlowdown, long nowNanos) {
        return job.isStarted()
                ? nowNanos <= job.mObjectiveNanos
                : nowNanos <= latestStartNanos(job, fastestSlowdown);
    }

    static Comparator<ScheduledJob> comparator(double fastestSlowdown, long nowNanos) {
        return Comparator.<ScheduledJob>comparingInt(
                        job -> isOnTime(job, fastestSlowdown, nowNanos) ? 0 : 1)
                .thenComparingInt(job -> job.mSpec.terms().priority())
                .thenComparingInt(job -> job.isStarted() ? 0 : 1)
                .thenComparingLong(job -> latestStartNanos(job, fastestSlowdown))
                .thenComparing(job -> job.mSpec.id());
    }
}
