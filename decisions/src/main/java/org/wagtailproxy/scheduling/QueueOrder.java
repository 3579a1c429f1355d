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

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private QueueOrder() {}

    /** Returns the latest moment at which a job can start and still meet its objective. */
    static long latestStartNanos(ScheduledJob job, double fastestPace) {
        return job.mObjectiveNanos - (long) (fastestPace * job.mSpec.criticalPathMillis() * MILLI);
    }

    static boolean onTime(ScheduledJob job, double fastestPace, long nowNanos) {
        return job.isStarted()
                ? nowNanos <= job.mObjectiveNanos
                : nowNanos <= latestStartNanos(job, fastestPace);
    }

    static Comparator<ScheduledJob> at(double fastestPace, long nowNanos) {
        return Comparator.<ScheduledJob>comparingInt(
                        job -> onTime(job, fastestPace, nowNanos) ? 0 : 1)
                .thenComparingInt(job -> job.mSpec.terms().priority())
                .thenComparingInt(job -> job.isStarted() ? 0 : 1)
                .thenComparingLong(job -> latestStartNanos(job, fastestPace))
                .thenComparing(job -> job.mSpec.id());
    }
}
