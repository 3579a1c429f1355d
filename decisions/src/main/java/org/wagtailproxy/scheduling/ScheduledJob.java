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
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** The account of one job's tasks: what waits, what runs, what is done. */
final class ScheduledJob {

    /** Where a task stands. */
    enum TaskState {
        WAITING,
        PLACED,
        DONE
    }

    /** A moment that is not reached. */
    static final long NEVER_NANOS = Long.MAX_VALUE / 2;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    final WorkSpec mSpec;
    final long mArrivedNanos;
    long mAcceptedNanos;
    long mDeadlineNanos;
    final long mObjectiveNanos;
    final long mUsefulUntilNanos;
    private final TaskState[][] mStates;
    private final int[][] mAttempts;
    private final int[][] mFailures;
    private final List<Map<ServerId, Integer>> mPerServer = new ArrayList<>();
    private final Map<TaskId, String> mCheckpoints = new HashMap<>();
    private int mWaiting;
    private int mPlaced;
    private int mDone;
    private int mTotal;
    private boolean mInherited;

    /** Where runs of an earlier leader may be; none if that may be anywhere. */
    private Option<Set<ServerId>> mInheritedFrom;

    private boolean mBegun;
    private boolean mEnded;
    private StoredJob.State mState = StoredJob.State.OPEN;
    private long mChanges;
    private long mSaved;

    /**
     * Opens a ledger.
     *
     * @param spec the job
     * @param progress what an earlier leader did of it
     * @param arrivedNanos when its caller sent it
     * @param deadlineNanos when its caller stops waiting
     * @param nowNanos the monotonic time
     * @param returnMillis time that the answer takes to its caller
     */
    ScheduledJob(
            WorkSpec spec,
            WorkProgress progress,
            long arrivedNanos,
            long deadlineNanos,
            long nowNanos,
            long returnMillis) {
        mSpec = spec;
        mArrivedNanos = arrivedNanos;
        mAcceptedNanos = nowNanos;
        mDeadlineNanos = deadlineNanos;
        long objective = spec.objectiveMillis();
        // A lasting job is never late, so it keeps its place in the order.
        mObjectiveNanos =
                spec.longRunning()
                        ? NEVER_NANOS
                        : arrivedNanos + (objective - returnMillis) * MILLI;
        mUsefulUntilNanos =
                spec.isStored()
                        ? NEVER_NANOS
                        : arrivedNanos + (3 * objective - returnMillis) * MILLI;
        int steps = spec.steps().size();
        mStates = new TaskState[steps][];
        mAttempts = new int[steps][];
        mFailures = new int[steps][];
        for (int step = 0; step < steps; step++) {
            int tasks = spec.steps().get(step).tasks();
            mStates[step] = new TaskState[tasks];
            mAttempts[step] = new int[tasks];
            mFailures[step] = new int[tasks];
            Arrays.fill(mStates[step], TaskState.WAITING);
            Arrays.fill(mAttempts[step], progress.highestAttempt());
            mPerServer.add(new HashMap<>());
            mTotal += tasks;
        }
        mWaiting = mTotal;
        mInherited = progress.highestAttempt() > 0;
        mInheritedFrom = progress.runsOn();
        mBegun = mInherited;
        for (TaskId task : progress.done()) {
            if (contains(task) && mStates[task.step()][task.index()] == TaskState.WAITING) {
                mStates[task.step()][task.index()] = TaskState.DONE;
                mWaiting--;
                mDone++;
            }
        }
    }

    /**
     * Opens the ledger of a stored job.
     *
     * @param job the job
     * @param highestAttempt exceeds the attempts of earlier leaders, 0 if there was none
     * @param nowNanos the monotonic time
     */
    static ScheduledJob stored(StoredJob job, int highestAttempt, long nowNanos) {
        ScheduledJob ledger =
                new ScheduledJob(
                        job.spec(),
                        WorkProgress.of(job.done(), highestAttempt),
                        nowNanos,
                        NEVER_NANOS,
                        nowNanos,
                        0);
        job.failures()
                .forEach(
                        (task, failures) -> {
                            if (ledger.contains(task)) {
                                ledger.mFailures[task.step()][task.index()] = failures;
                            }
                        });
        return ledger;
    }

    /** Returns what is to be saved of a stored job. */
    StoredJob storedJob() {
        Map<TaskId, Integer> failures = new HashMap<>();
        for (int step = 0; step < mFailures.length; step++) {
            for (int index = 0; index < mFailures[step].length; index++) {
                if (mFailures[step][index] > 0) {
                    TaskId task = TaskId.of(mSpec.id(), step, index);
                    failures.put(task, mFailures[step][index]);
                }
            }
        }
        return new StoredJob(mSpec, mState, progress().done(), failures);
    }

    /** Tests whether the job may still be refused. */
    boolean isRefusable() {
        return !mBegun && !mSpec.isStored();
    }

    long changeCount() {
        return mChanges;
    }

    /** Takes note that a change is saved. */
    void onSaved(long change) {
        mSaved = Math.max(mSaved, change);
    }

    boolean hasUnsavedChanges() {
        return mChanges > mSaved;
    }

    /**
     * Takes over what another leader may have done since this one was left; returns false if there
     * was none.
     */
    boolean updateInherited(WorkProgress progress, long nowNanos) {
        if (progress.highestAttempt() <= progress().highestAttempt()) {
            return false;
        }
        mInheritedFrom = mInherited ? both(mInheritedFrom, progress.runsOn()) : progress.runsOn();
        mInherited = true;
        mBegun = true;
        mAcceptedNanos = nowNanos;
        for (int[] attempts : mAttempts) {
            for (int index = 0; index < attempts.length; index++) {
                attempts[index] = Math.max(attempts[index], progress.highestAttempt());
            }
        }
        return true;
    }

    private static Option<Set<ServerId>> both(
            Option<Set<ServerId>> one, Option<Set<ServerId>> other) {
        return one.flatMap(set -> other.map(more -> Sets.union(set, more).immutableCopy()));
    }

    WorkProgress progress() {
        List<TaskId> done = new ArrayList<>();
        int highest = 0;
        for (int step = 0; step < mStates.length; step++) {
            for (int index = 0; index < mStates[step].length; index++) {
                highest = Math.max(highest, mAttempts[step][index]);
                if (mStates[step][index] == TaskState.DONE) {
                    done.add(TaskId.of(mSpec.id(), step, index));
                }
            }
        }
        WorkProgress progress = WorkProgress.of(done, highest);
        return mInherited ? progress : progress.runningOnlyOn(servers());
    }

    /** Returns the servers that run a task of the job. */
    private Set<ServerId> servers() {
        Set<ServerId> servers = new HashSet<>();
        for (Map<ServerId, Integer> step : mPerServer) {
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
        return mBegun;
    }

    /** True if an earlier leader may have started tasks that still run somewhere. */
    boolean isInherited() {
        return mInherited;
    }

    /** Returns the only servers on which such tasks may run, none if that may be anywhere. */
    Option<Set<ServerId>> inheritedFrom() {
        return mInheritedFrom;
    }

    boolean isEnded() {
        return mEnded;
    }

    void end(StoredJob.State state) {
        mEnded = true;
        mState = state;
        mChanges++;
    }

    int waiting() {
        return mWaiting;
    }

    int placed() {
        return mPlaced;
    }

    boolean isComplete() {
        return mDone == mTotal;
    }

    boolean stepReady(int step) {
        for (int before : mSpec.steps().get(step).after()) {
            for (TaskState state : mStates[before]) {
                if (state != TaskState.DONE) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Returns the first waiting task of a step, -1 if none waits. */
    int firstWaiting(int step) {
        for (int index = 0; index < mStates[step].length; index++) {
            if (mStates[step][index] == TaskState.WAITING) {
                return index;
            }
        }
        return -1;
    }

    int waiting(int step) {
        int waiting = 0;
        for (TaskState state : mStates[step]) {
            waiting += state == TaskState.WAITING ? 1 : 0;
        }
        return waiting;
    }

    boolean mayRunOn(StepSpec step, int position, ServerId server) {
        return step.maxTasksPerServer() == 0
                || mPerServer.get(position).getOrDefault(server, 0) < step.maxTasksPerServer();
    }

    /** Marks a task as placed and returns the number of the attempt. */
    int place(int step, int index, ServerId server) {
        mBegun = true;
        mStates[step][index] = TaskState.PLACED;
        mWaiting--;
        mPlaced++;
        mPerServer.get(step).merge(server, 1, Integer::sum);
        return ++mAttempts[step][index];
    }

    /** Takes over a run that another instance started; false if the task is not waiting. */
    boolean adopt(TaskId task, int attempt, ServerId server) {
        if (!contains(task) || mStates[task.step()][task.index()] != TaskState.WAITING) {
            return false;
        }
        place(task.step(), task.index(), server);
        mAttempts[task.step()][task.index()] = attempt;
        return true;
    }

    boolean contains(TaskId task) {
        return task.step() < mStates.length && task.index() < mStates[task.step()].length;
    }

    /** Takes note of how far a task has come; its next start goes on from there. */
    void recordCheckpoint(TaskId task, String checkpoint) {
        mCheckpoints.put(task, checkpoint);
    }

    /** Returns from where a task goes on, empty if it begins anew. */
    String checkpoint(TaskId task) {
        return mCheckpoints.getOrDefault(task, "");
    }

    /** Takes over the end of a run; returns true if the task has failed as often as allowed. */
    boolean runEnded(TaskId task, RunEnd end, ServerId server, int attemptJump) {
        int step = task.step();
        int index = task.index();
        if (mStates[step][index] != TaskState.PLACED) {
            return false;
        }
        mPlaced--;
        mPerServer.get(step).merge(server, -1, Integer::sum);
        if (end == RunEnd.DONE && !mSpec.longRunning()) {
            mStates[step][index] = TaskState.DONE;
            mCheckpoints.remove(task);
            mDone++;
            mChanges++;
            return false;
        }
        mStates[step][index] = TaskState.WAITING;
        mWaiting++;
        if (end == RunEnd.ATTEMPT_TOO_LOW) {
            mAttempts[step][index] += attemptJump;
        }
        return end == RunEnd.FAILED && failed(task);
    }

    /** Takes over the end of an earlier leader's run; returns the same as {@link #runEnded}. */
    boolean inheritedRunEnded(TaskId task, RunEnd end) {
        if (!contains(task) || mStates[task.step()][task.index()] != TaskState.WAITING) {
            return false;
        }
        if (end == RunEnd.DONE && !mSpec.longRunning()) {
            mStates[task.step()][task.index()] = TaskState.DONE;
            mWaiting--;
            mDone++;
            mChanges++;
        }
        return end == RunEnd.FAILED && failed(task);
    }

    private boolean failed(TaskId task) {
        if (mSpec.longRunning()) {
            return false;
        }
        mChanges++;
        return ++mFailures[task.step()][task.index()] >= mSpec.terms().maxFailures();
    }

    /** Returns the processor room of the smallest task, in thousandths of a core. */
    long smallestCpuMillis() {
        long smallest = Long.MAX_VALUE;
        for (StepSpec step : mSpec.steps()) {
            smallest = Math.min(smallest, step.demand().cpuMillis());
        }
        return smallest;
    }

    /** Sums the processor room that waiting tasks take up, in thousandths of a core. */
    double waitingCpuMillis() {
        double room = 0;
        for (int step = 0; step < mStates.length; step++) {
            room += (double) waiting(step) * mSpec.steps().get(step).demand().cpuMillis();
        }
        return room;
    }

    /** Sums the processor time that waiting tasks take, in thousandths of a core times ms. */
    double waitingWork(double pace) {
        double work = 0;
        for (int step = 0; step < mStates.length; step++) {
            StepSpec spec = mSpec.steps().get(step);
            work += pace * waiting(step) * spec.estimateMillis() * spec.demand().cpuMillis();
        }
        return work;
    }
}
