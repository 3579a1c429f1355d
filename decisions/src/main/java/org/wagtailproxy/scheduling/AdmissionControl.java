package org.wagtailproxy.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.workload.StepSpec;

/**
 * Decides whether an unstarted job is refused.
 *
 * <p>Designed for bursts of up to twice the capacity: a job that is expected to start after the
 * latest start that meets its objective is refused at once, so that its caller is informed early
 * and the queue contains only jobs that can be completed in time. A job is never refused while
 * capacity for it is free.
 */
final class AdmissionControl {

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final SchedulerTuning mTuning;

    AdmissionControl(SchedulerTuning tuning) {
        mTuning = tuning;
    }

    /**
     * Checks whether a job is to be refused now.
     *
     * <p>During the first part of its objective a job is refused if it is expected to start too
     * late, so that its caller is informed early. A job that has waited longer is refused only once
     * even a late completion is out of reach. Until then it may get capacity that no other job can
     * use.
     *
     * @param job the job, unstarted
     * @param requiredCpuAhead CPU capacity required by the jobs before it, in thousandths of a core
     * @param cpuWorkAhead processor time of these jobs, in thousandths of a core times milliseconds
     * @param forecast when capacity becomes free
     * @param nowNanos the monotonic time in nanoseconds
     */
    boolean shouldRefuse(
            ScheduledJob job,
            double requiredCpuAhead,
            double cpuWorkAhead,
            CapacityForecast forecast,
            long nowNanos) {
        SlowdownRange slowdowns = forecast.slowdowns();
        double fastestMillis = slowdowns.fastest() * job.mSpec.criticalPathMillis();
        long latestEndNanos = Math.min(job.mDeadlineNanos, job.mUsefulUntilNanos);
        if (nowNanos + (long) (fastestMillis * NANOS_PER_MILLI) > latestEndNanos) {
            return true;
        }
        long latestStartNanos = QueueOrder.latestStartNanos(job, slowdowns.fastest());
        if (!fitsOnServers(job, forecast.servers())) {
            // Servers may be about to be held, as after a change of leader.
            return nowNanos > latestStartNanos;
        }
        double earlyRefusalMillis = mTuning.earlyRefusalShare() * job.mSpec.objectiveMillis();
        if ((nowNanos - job.mArrivedNanos) / NANOS_PER_MILLI > earlyRefusalMillis) {
            return false;
        }
        double requiredCpuMillis = job.waitingCpuMillis();
        // A job whose tasks all fit at once does not wait for its own tasks.
        double ownShare = Math.max(0, 1 - forecast.totalCpuMillis() / requiredCpuMillis);
        double cpuWork = cpuWorkAhead + ownShare * job.waitingCpuWork(slowdowns.typical());
        double waitMillis = forecast.waitMillis(requiredCpuAhead + requiredCpuMillis, cpuWork);
        return nowNanos + (long) (waitMillis * NANOS_PER_MILLI) > latestStartNanos;
    }

    private static boolean fitsOnServers(ScheduledJob job, List<BackendServer> servers) {
        for (StepSpec step : job.mSpec.steps()) {
            boolean fits = false;
            for (BackendServer server : servers) {
                boolean hasLabel =
                        step.label().isEmpty() || server.entry().labels().contains(step.label());
                fits |= hasLabel && step.demand().fitsInto(server.entry().capacity());
            }
            if (!fits) {
                return false;
            }
        }
        return true;
    }
}
