package org.wagtailproxy.scheduling;

import com.google.common.collect.Sets;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Tracks the tasks of one job: which are waiting, placed on a backend server or done.
 *
 * <p>Also counts attempts and failures of each task, and numbers the changes of a stored job so
 * that saved and unsaved ones can be distinguished. Not thread-safe; used under the scheduler's
 * lock.
 */
final class ScheduledJob {

    /** State of a task. */
    enum TaskState {
        WAITING,
        PLACED,
        DONE
    }

    /** A time that is never reached. */
    static final long NEVER_NANOS = Long.MAX_VALUE / 2;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    final WorkSpec mSpec;
    final long mArrivedNanos;

    /** The earliest time at which a leader may have started tasks of the job. */
    long mMayRunSinceNanos;

    long mAcceptedNanos;
    long mDeadlineNanos;
    final long mObjectiveNanos;
    final long mUsefulUntilNanos;
    private final TaskState[][] mTaskStates;
    private final int[][] mAttempts;

    /** The attempts that have failed by task, each counted once however often it is reported. */
    private final Map<TaskId, Set<Integer>> mFailedAttempts = new HashMap<>();

    private final List<Map<ServerId, Integer>> mTasksPerServer = new ArrayList<>();
    private final Map<TaskId, String> mCheckpoints = new HashMap<>();
    private int mWaitingTasks;
    private int mPlacedTasks;
    private int mDoneTasks;
    private int mTotalTasks;
    private boolean mInherited;

    /**
     * Servers on which runs inherited from an earlier leader may be active; none if they may be on
     * any server.
     */
    private Option<Set<ServerId>> mInheritedServers;

    /** Data centres in which earlier leaders may have started tasks. */
    private DataCentreScope mInheritedScope;

    private long mNoOtherLeaderSinceNanos = NEVER_NANOS;

    /** True once tasks may be placed although an earlier leader may have started some. */
    private boolean mReleased;

    private boolean mStarted;
    private boolean mEnded;
    private StoredJob.State mState = StoredJob.State.OPEN;
    private long mChangeCount;
    private long mSavedChange;

    /**
     * Creates the tracker of a job.
     *
     * @param spec the job
     * @param progress what an earlier leader has done of the job
     * @param arrivedNanos the monotonic time at which its caller sent it
     * @param deadlineNanos the monotonic time at which its caller stops waiting
     * @param nowNanos the monotonic time in nanoseconds
     * @param responseDelayMillis time that the response takes to reach its caller, in milliseconds
     */
    ScheduledJob(
            WorkSpec spec,
            WorkProgress progress,
            long arrivedNanos,
            long deadlineNanos,
            long nowNanos,
            long responseDelayMillis) {
        mSpec = spec;
        mArrivedNanos = arrivedNanos;
        mMayRunSinceNanos = arrivedNanos;
        mAcceptedNanos = nowNanos;
        mDeadlineNanos = deadlineNanos;
        long objective = spec.objectiveMillis();
        // A long-running job is never late, so its position in the queue does not change.
        mObjectiveNanos =
                spec.longRunning()
                        ? NEVER_NANOS
                        : arrivedNanos + (objective - responseDelayMillis) * NANOS_PER_MILLI;
        mUsefulUntilNanos =
                spec.isStored()
                        ? NEVER_NANOS
                        : arrivedNanos + (3 * objective - responseDelayMillis) * NANOS_PER_MILLI;
        int steps = spec.steps().size();
        mTaskStates = new TaskState[steps][];
        mAttempts = new int[steps][];
        for (int step = 0; step < steps; step++) {
            int tasks = spec.steps().get(step).tasks();
            mTaskStates[step] = new TaskState[tasks];
            mAttempts[step] = new int[tasks];
            Arrays.fill(mTaskStates[step], TaskState.WAITING);
            Arrays.fill(mAttempts[step], progress.highestAttempt());
            mTasksPerServer.add(new HashMap<>());
            mTotalTasks += tasks;
        }
        mWaitingTasks = mTotalTasks;
        mInherited = progress.highestAttempt() > 0;
        mInheritedServers = progress.runsOn();
        mInheritedScope = progress.scope();
        mStarted = mInherited;
        for (TaskId task : progress.done()) {
            if (contains(task) && mTaskStates[task.step()][task.index()] == TaskState.WAITING) {
                mTaskStates[task.step()][task.index()] = TaskState.DONE;
                mWaitingTasks--;
                mDoneTasks++;
            }
        }
    }

    /**
     * Creates the tracker of a stored job.
     *
     * @param job the job
     * @param highestAttempt an upper bound of the number of attempts that earlier leaders have made
     *     at a task, 0 if there was no earlier leader
     * @param nowNanos the monotonic time in nanoseconds
     */
    static ScheduledJob ofStoredJob(StoredJob job, int highestAttempt, long nowNanos) {
        ScheduledJob scheduledJob =
                new ScheduledJob(
                        job.spec(),
                        WorkProgress.of(job.done(), highestAttempt),
                        nowNanos,
                        NEVER_NANOS,
                        nowNanos,
                        0);
        for (int[] attempts : scheduledJob.mAttempts) {
            Arrays.fill(attempts, StoredAttempts.number(highestAttempt));
        }
        job.failedAttempts().forEach(scheduledJob::restoreFailedAttempts);
        // Runs of an earlier leader that are not in the record are listed by their servers.
        scheduledJob.mStarted = !job.done().isEmpty() || !job.failedAttempts().isEmpty();
        return scheduledJob;
    }

    /** Restores what the record says of a task. No number that is counted is used again. */
    private void restoreFailedAttempts(TaskId task, Set<Integer> failed) {
        if (!contains(task)) {
            return;
        }
        mFailedAttempts.put(task, new HashSet<>(failed));
        int highestFailed = failed.stream().mapToInt(Integer::intValue).max().orElse(0);
        int[] attempts = mAttempts[task.step()];
        attempts[task.index()] = Math.max(attempts[task.index()], highestFailed);
    }

    /** Returns the state of a stored job in the form in which it is saved. */
    StoredJob storedJob() {
        return new StoredJob(mSpec, mState, progress().done(), mFailedAttempts);
    }

    /** Checks whether the job may still be refused: it is unstarted and not stored. */
    boolean isRefusable() {
        return !mStarted && !mSpec.isStored();
    }

    long changeCount() {
        return mChangeCount;
    }

    /** Records that all changes up to the given number are saved. */
    void onSaved(long changeNumber) {
        mSavedChange = Math.max(mSavedChange, changeNumber);
    }

    boolean hasUnsavedChanges() {
        return mChangeCount > mSavedChange;
    }

    /**
     * Merges the progress of a leader that had the job in the meantime. Returns false if no other
     * leader has started tasks of it. The number of its attempts shows nothing else: two leaders
     * that have a job at the same time count independently.
     */
    boolean updateInherited(WorkProgress progress, long nowNanos) {
        if (progress.highestAttempt() == 0) {
            return false;
        }
        mInheritedServers =
                mInherited ? union(mInheritedServers, progress.runsOn()) : progress.runsOn();
        mInheritedScope = mInheritedScope.union(progress.scope());
        mInherited = true;
        mReleased = false;
        mStarted = true;
        mAcceptedNanos = nowNanos;
        mNoOtherLeaderSinceNanos = NEVER_NANOS;
        for (int[] attempts : mAttempts) {
            for (int index = 0; index < attempts.length; index++) {
                attempts[index] = Math.max(attempts[index], progress.highestAttempt());
            }
        }
        return true;
    }

    private static Option<Set<ServerId>> union(
            Option<Set<ServerId>> left, Option<Set<ServerId>> right) {
        return left.flatMap(
                first -> right.map(second -> Sets.union(first, second).immutableCopy()));
    }

    WorkProgress progress() {
        List<TaskId> done = new ArrayList<>();
        int highestAttempt = 0;
        for (int step = 0; step < mTaskStates.length; step++) {
            for (int index = 0; index < mTaskStates[step].length; index++) {
                highestAttempt = Math.max(highestAttempt, mAttempts[step][index]);
                if (mTaskStates[step][index] == TaskState.DONE) {
                    done.add(TaskId.of(mSpec.id(), step, index));
                }
            }
        }
        WorkProgress progress = WorkProgress.of(done, highestAttempt).startedIn(mInheritedScope);
        return mInherited ? progress : progress.runningOnlyOn(serversWithRuns());
    }

    /** Returns the servers that run a task of the job. */
    private Set<ServerId> serversWithRuns() {
        Set<ServerId> servers = new HashSet<>();
        for (Map<ServerId, Integer> step : mTasksPerServer) {
            step.forEach(
                    (server, tasks) -> {
                        if (tasks > 0) {
                            servers.add(server);
                        }
                    });
        }
        return servers;
    }

    boolean isStarted() {
        return mStarted;
    }

    /** Checks whether an earlier leader may have started tasks that are still running. */
    boolean isInherited() {
        return mInherited;
    }

    /**
     * Returns the only servers on which such runs may be active; none if they may be on any server.
     */
    Option<Set<ServerId>> inheritedServers() {
        return mInheritedServers;
    }

    /** Returns the only data centres in which earlier leaders may have started tasks. */
    DataCentreScope inheritedScope() {
        return mInheritedScope;
    }

    /**
     * Records that no other instance led at a time. Returns true if this is the first proof since
     * the job was accepted that no earlier leader starts its tasks any more.
     */
    boolean recordNoOtherLeader(long nanos) {
        boolean isFirstProof =
                mInherited
                        && mInheritedServers.isEmpty()
                        && nanos > mAcceptedNanos
                        && mNoOtherLeaderSinceNanos == NEVER_NANOS;
        if (isFirstProof) {
            mNoOtherLeaderSinceNanos = nanos;
        }
        return isFirstProof;
    }

    /** Records that tasks may be placed. Returns true the first time for an inherited job. */
    boolean markReleased() {
        boolean isFirst = mInherited && !mReleased;
        mReleased = true;
        return isFirst;
    }

    /** Returns since when no earlier leader starts tasks of the job, far ahead if not known. */
    long noOtherLeaderSinceNanos() {
        return mNoOtherLeaderSinceNanos;
    }

    boolean isEnded() {
        return mEnded;
    }

    void end(StoredJob.State state) {
        mEnded = true;
        mState = state;
        mChangeCount++;
    }

    int waitingTasks() {
        return mWaitingTasks;
    }

    int placedTasks() {
        return mPlacedTasks;
    }

    boolean isComplete() {
        return mDoneTasks == mTotalTasks;
    }

    boolean isStepReady(int step) {
        for (int predecessor : mSpec.steps().get(step).after()) {
            for (TaskState state : mTaskStates[predecessor]) {
                if (state != TaskState.DONE) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Returns the index of the first waiting task of a step, or -1 if no task waits. */
    int firstWaitingTask(int step) {
        for (int index = 0; index < mTaskStates[step].length; index++) {
            if (mTaskStates[step][index] == TaskState.WAITING) {
                return index;
            }
        }
        return -1;
    }

    int waitingTasks(int step) {
        int waiting = 0;
        for (TaskState state : mTaskStates[step]) {
            waiting += state == TaskState.WAITING ? 1 : 0;
        }
        return waiting;
    }

    boolean mayRunOn(StepSpec step, int stepIndex, ServerId server) {
        return step.maxTasksPerServer() == 0
                || mTasksPerServer.get(stepIndex).getOrDefault(server, 0)
                        < step.maxTasksPerServer();
    }

    /** Marks a task as placed and returns the number of the attempt. */
    int place(int step, int index, ServerId server) {
        mStarted = true;
        mTaskStates[step][index] = TaskState.PLACED;
        mWaitingTasks--;
        mPlacedTasks++;
        mTasksPerServer.get(step).merge(server, 1, Integer::sum);
        return ++mAttempts[step][index];
    }

    /** Adopts a run that another instance started. Returns false if the task is not waiting. */
    boolean adopt(TaskId task, int attempt, ServerId server) {
        if (!contains(task) || mTaskStates[task.step()][task.index()] != TaskState.WAITING) {
            return false;
        }
        int earlierAttempt = mAttempts[task.step()][task.index()];
        place(task.step(), task.index(), server);
        mAttempts[task.step()][task.index()] = Math.max(earlierAttempt, attempt);
        return true;
    }

    boolean contains(TaskId task) {
        return task.step() < mTaskStates.length && task.index() < mTaskStates[task.step()].length;
    }

    /** Records the checkpoint of a task, from which its next attempt resumes. */
    void recordCheckpoint(TaskId task, String checkpoint) {
        mCheckpoints.put(task, checkpoint);
    }

    /** Returns the checkpoint from which a task resumes, empty if it starts from the beginning. */
    String checkpoint(TaskId task) {
        return mCheckpoints.getOrDefault(task, "");
    }

    /**
     * Updates a task whose run has ended. Returns true if the task has reached its maximum number
     * of failures. A done task of a long-running job is started again.
     */
    boolean runEnded(TaskId task, int attempt, RunEnd end, ServerId server, int attemptJump) {
        int step = task.step();
        int index = task.index();
        if (mTaskStates[step][index] != TaskState.PLACED) {
            return false;
        }
        mPlacedTasks--;
        mTasksPerServer.get(step).merge(server, -1, Integer::sum);
        if (end == RunEnd.DONE && !mSpec.longRunning()) {
            mTaskStates[step][index] = TaskState.DONE;
            mCheckpoints.remove(task);
            mDoneTasks++;
            mChangeCount++;
            return false;
        }
        mTaskStates[step][index] = TaskState.WAITING;
        mWaitingTasks++;
        if (end == RunEnd.ATTEMPT_TOO_LOW) {
            mAttempts[step][index] += attemptJump;
        }
        return end == RunEnd.FAILED && recordFailure(task, attempt);
    }

    /**
     * Updates a task of which a run has ended that is not tracked: an earlier leader started it, or
     * it was given up. Returns the same as {@link #runEnded}.
     */
    boolean inheritedRunEnded(TaskId task, int attempt, RunEnd end) {
        if (!contains(task) || mTaskStates[task.step()][task.index()] == TaskState.DONE) {
            return false;
        }
        mStarted = true;
        if (end == RunEnd.FAILED) {
            return recordFailure(task, attempt);
        }
        if (mTaskStates[task.step()][task.index()] == TaskState.PLACED) {
            return false;
        }
        if (end == RunEnd.DONE && !mSpec.longRunning()) {
            mTaskStates[task.step()][task.index()] = TaskState.DONE;
            mWaitingTasks--;
            mDoneTasks++;
            mChangeCount++;
        }
        return false;
    }

    private boolean recordFailure(TaskId task, int attempt) {
        if (mSpec.longRunning()) {
            return false;
        }
        Set<Integer> failed = mFailedAttempts.computeIfAbsent(task, key -> new HashSet<>());
        if (!failed.add(attempt)) {
            return false;
        }
        mChangeCount++;
        return failed.size() >= mSpec.terms().maxFailures();
    }

    /** Returns the CPU demand of the smallest task, in thousandths of a core. */
    long minTaskCpuMillis() {
        long minCpuMillis = Long.MAX_VALUE;
        for (StepSpec step : mSpec.steps()) {
            minCpuMillis = Math.min(minCpuMillis, step.demand().cpuMillis());
        }
        return minCpuMillis;
    }

    /** Returns the total CPU demand of the waiting tasks, in thousandths of a core. */
    double waitingCpuMillis() {
        double cpuMillis = 0;
        for (int step = 0; step < mTaskStates.length; step++) {
            cpuMillis += (double) waitingTasks(step) * mSpec.steps().get(step).demand().cpuMillis();
        }
        return cpuMillis;
    }

    /**
     * Returns the total processor time of the waiting tasks, in thousandths of a core times
     * milliseconds.
     */
    double waitingCpuWork(double slowdown) {
        double cpuWork = 0;
        for (int step = 0; step < mTaskStates.length; step++) {
            StepSpec spec = mSpec.steps().get(step);
            cpuWork +=
                    slowdown
                            * waitingTasks(step)
                            * spec.estimateMillis()
                            * spec.demand().cpuMillis();
        }
        return cpuWork;
    }
}
