package org.wagtailproxy.scheduling;

import java.util.List;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.TaskId;

/** Places waiting tasks on backend servers in the order of the queue. */
final class TaskPlacer {

    private final SchedulerTuning mTuning;
    private final SchedulerListener mListener;

    TaskPlacer(SchedulerTuning tuning, SchedulerListener listener) {
        mTuning = tuning;
        mListener = listener;
    }

    /**
     * Places all waiting tasks that fit.
     *
     * @param queue jobs with waiting tasks; sorted by this method
     * @param usable servers that may take tasks; servers that can take no more are removed
     * @param nowNanos the monotonic time in nanoseconds
     */
    void place(List<ScheduledJob> queue, List<BackendServer> usable, long nowNanos) {
        // Under overload most passes end here, since no server has capacity for the smallest task.
        long minTaskCpuMillis = Long.MAX_VALUE;
        for (ScheduledJob job : queue) {
            minTaskCpuMillis = Math.min(minTaskCpuMillis, job.minTaskCpuMillis());
        }
        long requiredCpuMillis = Math.max(1, minTaskCpuMillis);
        usable.removeIf(server -> server.freeCapacity().cpuMillis() < requiredCpuMillis);
        if (usable.isEmpty()) {
            return;
        }
        SlowdownRange slowdowns = SlowdownRange.of(usable);
        queue.sort(QueueOrder.comparator(slowdowns.fastest(), nowNanos));
        ServerSelector selector = new ServerSelector(slowdowns.typical(), mTuning.remoteFactor());
        for (ScheduledJob job : queue) {
            for (int step = 0; step < job.mSpec.steps().size(); step++) {
                if (job.isStepReady(step)) {
                    placeStep(job, step, usable, selector, slowdowns, nowNanos);
                }
            }
        }
    }

    private void placeStep(
            ScheduledJob job,
            int step,
            List<BackendServer> usable,
            ServerSelector selector,
            SlowdownRange slowdowns,
            long nowNanos) {
        int index = job.firstWaitingTask(step);
        while (index >= 0) {
            BackendServer server =
                    selector.choose(usable, job, step, slowdowns.fastest(), nowNanos);
            if (server == null) {
                return;
            }
            startTask(job, step, index, server, selector, nowNanos);
            if (server.health().isProbing()) {
                // A server that is being probed gets one task at a time until one is done.
                usable.remove(server);
            }
            index = job.firstWaitingTask(step);
        }
    }

    private void startTask(
            ScheduledJob job,
            int step,
            int index,
            BackendServer server,
            ServerSelector selector,
            long nowNanos) {
        StepSpec spec = job.mSpec.steps().get(step);
        ServerId id = server.entry().id();
        int attempt = job.place(step, index, id);
        TaskId task = TaskId.of(job.mSpec.id(), step, index);
        long expectedMillis = Math.round(selector.expectedMillis(server, spec));
        ServerRun run =
                new ServerRun(task, attempt, spec.demand(), spec.estimateMillis(), nowNanos);
        run.mStored = job.mSpec.isStored();
        run.mLongRunning = job.mSpec.longRunning();
        server.start(run, job.mSpec.payload(), job.checkpoint(task), nowNanos);
        mListener.taskPlaced(task, attempt, id, expectedMillis);
    }
}
