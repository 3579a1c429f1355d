package org.wagtailproxy.scheduling;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.workload.StepSpec;

/**
 * Chooses the backend server of a task: where it is expected to end first.
 *
 * <p>Answers servers of unequal speed that hold two or three tasks each. Among servers of like
 * speed the one that is filled best is taken, which keeps room for large tasks. A server so slow
 * that the job would miss its objective is left alone while a faster one could still make it.
 */
final class ServerSelector {

    /** Weight of unused room in the comparison, as a share of the run time. */
    private static final double FIT_WEIGHT = 0.05;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final double mUsualPace;
    private final double mRemoteFactor;

    ServerSelector(double usualPace, double remoteFactor) {
        mUsualPace = usualPace;
        mRemoteFactor = remoteFactor;
    }

    /** Returns the expected run time of a task on a server in milliseconds. */
    double expectedMillis(BackendServer server, StepSpec step) {
        boolean far = !step.rack().isEmpty() && !server.entry().labels().contains(step.rack());
        double work = step.estimateMillis() * (far ? mRemoteFactor : 1);
        return work * server.slowdown().ratio(mUsualPace);
    }

    /** Returns the best server for a waiting task of a step, null if it has to wait. */
    BackendServer choose(
            Collection<BackendServer> servers,
            ScheduledJob job,
            int position,
            double fastestPace,
            long nowNanos) {
        StepSpec step = job.mSpec.steps().get(position);
        boolean hurried = QueueOrder.onTime(job, fastestPace, nowNanos);
        BackendServer best = null;
        double bestScore = Double.MAX_VALUE;
        for (BackendServer server : servers) {
            if (!server.fits(step.demand()) || !suits(server, job, position, step)) {
                continue;
            }
            double expected = expectedMillis(server, step);
            long endNanos = nowNanos + (long) (expected * MILLI);
            boolean fastWouldDo =
                    nowNanos + (long) (fastestPace * step.estimateMillis() * MILLI)
                            <= job.mObjectiveNanos;
            if (hurried && endNanos > job.mObjectiveNanos && fastWouldDo) {
                continue;
            }
            if (endNanos > Math.min(job.mDeadlineNanos, job.mUsefulUntilNanos)) {
                continue;
            }
            double left = server.freeCapacity().minus(step.demand()).cpuMillis();
            double capacity = Math.max(1, server.entry().capacity().cpuMillis());
            double score = expected * (1 + FIT_WEIGHT * left / capacity);
            if (score < bestScore) {
                bestScore = score;
                best = server;
            }
        }
        return best;
    }

    private static boolean suits(
            BackendServer server, ScheduledJob job, int position, StepSpec step) {
        boolean labelled = step.label().isEmpty() || server.entry().labels().contains(step.label());
        return labelled && job.mayRunOn(step, position, server.entry().id());
    }
}
