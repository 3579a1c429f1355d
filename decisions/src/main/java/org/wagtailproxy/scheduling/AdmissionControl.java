package org.wagtailproxy.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.workload.StepSpec;

/**
 * Decides whether a job that has not begun is refused.
 *
 * <p>Answers bursts of up to twice the room: a job whose turn will come after the latest start that
 * meets its objective is refused at once, so that its caller hears early and the queue holds only
 * what can be answered. A job is never refused while room for it is free.
 */
final class AdmissionControl {

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final SchedulerTuning mTuning;

    AdmissionControl(SchedulerTuning tuning) {
        mTuning = tuning;
    }

    /**
     * Tests whether a job is to be refused now.
     *
     * <p>In the first part of its time a job is refused if its turn will come too late; its caller
     * hears early then. One that was kept longer is refused only once even a late answer is out of
     * reach: it gets room that nothing else can use.
     *
     * @param job the job, not begun
     * @param requiredCpuAhead room that jobs before it want, in thousandths of a core
     * @param cpuWorkAhead processor time that they take, in thousandths of a core times ms
     * @param forecast when room comes free
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
        // A job that fits all at once does not wait for itself.
        double ownShare = Math.max(0, 1 - forecast.totalCpuMillis() / requiredCpuMillis);
        double cpuWork = cpuWorkAhead + ownShare * job.waitingCpuWork(slowdowns.usual());
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
