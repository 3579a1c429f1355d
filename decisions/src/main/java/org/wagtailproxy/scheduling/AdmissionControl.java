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

    private static final double MILLI = TimeUnit.MILLISECONDS.toNanos(1);

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
     * @param wantedAhead room that jobs before it want, in thousandths of a core
     * @param workAhead processor time that they take, in thousandths of a core times ms
     * @param projection when room comes free
     * @param nowNanos the monotonic time in nanoseconds
     */
    boolean refuses(
            ScheduledJob job,
            double wantedAhead,
            double workAhead,
            CapacityForecast projection,
            long nowNanos) {
        SlowdownRange paces = projection.paces();
        double fastMillis = paces.fastest() * job.mSpec.criticalPathMillis();
        long lastNanos = Math.min(job.mDeadlineNanos, job.mUsefulUntilNanos);
        if (nowNanos + (long) (fastMillis * MILLI) > lastNanos) {
            return true;
        }
        long latestNanos = QueueOrder.latestStartNanos(job, paces.fastest());
        if (!fitsAnywhere(job, projection.servers())) {
            // Servers may be about to be held, as after a change of leader.
            return nowNanos > latestNanos;
        }
        double offerMillis = mTuning.offerShare() * job.mSpec.objectiveMillis();
        if ((nowNanos - job.mArrivedNanos) / MILLI > offerMillis) {
            return false;
        }
        double room = job.waitingCpuMillis();
        // A job that fits all at once does not wait for itself.
        double own = Math.max(0, 1 - projection.capacity() / room);
        double work = workAhead + own * job.waitingWork(paces.usual());
        double wait = projection.waitMillis(wantedAhead + room, work);
        return nowNanos + (long) (wait * MILLI) > latestNanos;
    }

    private static boolean fitsAnywhere(ScheduledJob job, List<BackendServer> servers) {
        for (StepSpec step : job.mSpec.steps()) {
            boolean fits = false;
            for (BackendServer server : servers) {
                boolean labelled =
                        step.label().isEmpty() || server.entry().labels().contains(step.label());
                fits |= labelled && step.demand().fitsInto(server.entry().capacity());
            }
            if (!fits) {
                return false;
            }
        }
        return true;
    }
}
