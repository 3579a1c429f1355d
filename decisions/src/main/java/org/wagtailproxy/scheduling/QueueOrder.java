package org.wagtailproxy.scheduling;

import java.util.Comparator;
import java.util.concurrent.TimeUnit;

/**
 * The order in which jobs get room.
 *
 * <p>Answers the load that exceeds the room: jobs that can still meet their objective come before
 * those that cannot, then urgent before less urgent ones, then the one with the earliest latest
 * start. A job that has begun comes before those of its priority that have not, since it pays only
 * when its last task ends.
 */
final class QueueOrder {

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private QueueOrder() {}

    /** Returns the latest moment at which a job can start and still meet its objective. */
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
