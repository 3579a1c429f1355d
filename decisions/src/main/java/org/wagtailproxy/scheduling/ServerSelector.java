package org.wagtailproxy.scheduling;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.workload.StepSpec;

/**
 * Selects the backend server on which a task is expected to end first.
 *
 * <p>Designed for servers of unequal speed that run two or three tasks each. Among servers of
 * similar speed the one with the least remaining capacity is selected, which keeps capacity for
 * large tasks on others. A server so slow that the job would miss its objective is skipped while a
 * faster one could still meet it.
 */
final class ServerSelector {

    /** Weight of the remaining capacity in the comparison, as a share of the run time. */
    private static final double FIT_WEIGHT = 0.05;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final double mTypicalSlowdown;
    private final double mRemoteFactor;

    ServerSelector(double typicalSlowdown, double remoteFactor) {
        mTypicalSlowdown = typicalSlowdown;
        mRemoteFactor = remoteFactor;
    }

    /** Returns the expected run time of a task on a server in milliseconds. */
    double expectedMillis(BackendServer server, StepSpec step) {
        boolean remote = !step.rack().isEmpty() && !server.entry().labels().contains(step.rack());
        double workMillis = step.estimateMillis() * (remote ? mRemoteFactor : 1);
        return workMillis * server.slowdown().ratio(mTypicalSlowdown);
    }

    /** Returns the best server for a waiting task of a step, or null if the task has to wait. */
    BackendServer choose(
            Collection<BackendServer> servers,
            ScheduledJob job,
            int stepIndex,
            double fastestSlowdown,
            long nowNanos) {
        StepSpec step = job.mSpec.steps().get(stepIndex);
        boolean onTime = QueueOrder.isOnTime(job, fastestSlowdown, nowNanos);
        BackendServer best = null;
        double bestScore = Double.MAX_VALUE;
        for (BackendServer server : servers) {
            if (!server.fits(step.demand()) || !meetsConstraints(server, job, stepIndex, step)) {
                continue;
            }
            double expectedMillis = expectedMillis(server, step);
            long endNanos = nowNanos + (long) (expectedMillis * NANOS_PER_MILLI);
            boolean fastestMeetsObjective =
                    nowNanos + (long) (fastestSlowdown * step.estimateMillis() * NANOS_PER_MILLI)
                            <= job.mObjectiveNanos;
            if (onTime && endNanos > job.mObjectiveNanos && fastestMeetsObjective) {
                continue;
            }
            if (endNanos > Math.min(job.mDeadlineNanos, job.mUsefulUntilNanos)) {
                continue;
            }
            double remainingCpuMillis = server.freeCapacity().minus(step.demand()).cpuMillis();
            double capacityCpuMillis = Math.max(1, server.entry().capacity().cpuMillis());
            double score =
                    expectedMillis * (1 + FIT_WEIGHT * remainingCpuMillis / capacityCpuMillis);
            if (score < bestScore) {
                bestScore = score;
                best = server;
            }
        }
        return best;
    }

    private static boolean meetsConstraints(
            BackendServer server, ScheduledJob job, int stepIndex, StepSpec step) {
        boolean hasLabel = step.label().isEmpty() || server.entry().labels().contains(step.label());
        return hasLabel && job.mayRunOn(step, stepIndex, server.entry().id());
    }
}
