package org.wagtailproxy.dispatcher;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;

/**
 * Records the done runs of stored jobs. Once a server was allowed to forget the end of one, and its
 * lease has not lapsed since that end, the task must not be started again, neither before that nor
 * afterwards.
 */
final class DoneTasks {

    /** Failures of a task after which its job fails, see {@link SimulatedCallers}. */
    private static final int MAX_FAILURES = 3;

    private final FleetSimulation mFleet;
    private final Set<JobId> mStoredJobs = new HashSet<>();
    private final Map<TaskId, Map<Integer, Long>> mDoneMillis = new HashMap<>();
    private final Map<TaskId, Long> mFinalMillis = new HashMap<>();
    private final Map<TaskId, SimulatedServer.Run> mLastStarts = new HashMap<>();
    private final Map<TaskId, Integer> mFailures = new HashMap<>();

    DoneTasks(FleetSimulation fleet) {
        mFleet = fleet;
    }

    void addStoredJob(JobId job) {
        mStoredJobs.add(job);
    }

    void onStarted(TaskId task, SimulatedServer.Run run) {
        mLastStarts.put(task, run);
        check(task);
    }

    void onDone(TaskId task, SimulatedServer.Run run) {
        mDoneMillis
                .computeIfAbsent(task, key -> new HashMap<>())
                .put(run.attempt(), mFleet.mTime.nowMillis());
    }

    void onFailed(TaskId task) {
        mFailures.merge(task, 1, Integer::sum);
    }

    /** Checks whether a task has failed so often that its job may have failed. */
    boolean hasFailedForGood(TaskId task) {
        return mFailures.getOrDefault(task, 0) >= MAX_FAILURES;
    }

    void onAcknowledged(TaskId task, int attempt) {
        mFinalMillis.merge(task, mDoneMillis.get(task).get(attempt), Math::min);
        check(task);
    }

    private void check(TaskId task) {
        Long doneMillis = mFinalMillis.get(task);
        SimulatedServer.Run last = mLastStarts.get(task);
        if (mStoredJobs.contains(task.job())
                && doneMillis != null
                && last.startedMillis() > doneMillis) {
            mFleet.violation(
                    task.job(), "TWICE " + task + ": " + last + ", done at " + doneMillis + " ms");
        }
    }
}
