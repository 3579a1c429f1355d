package org.wagtailproxy.workload;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Represents a job that is saved in the store, with its progress.
 *
 * <p>It names the runs that are counted in it, so that a coordinator that finds the end of a run
 * can tell whether an earlier one has counted it already.
 *
 * @param spec the job, not null
 * @param state its state, not null
 * @param done the tasks that are done, not null
 * @param failedAttempts the attempts that have failed by task, without tasks that have not failed;
 *     not null
 */
public record StoredJob(
        WorkSpec spec, State state, List<TaskId> done, Map<TaskId, Set<Integer>> failedAttempts) {

    /** Memory of a task that is done or has failed, in bytes. */
    private static final long TASK_PROGRESS_BYTES = 64;

    /** Memory of a job that has ended, whose work is not kept, in bytes. */
    private static final long ENDED_JOB_BYTES = 400;

    /** Stands for the steps of jobs whose work is not kept. */
    private static final List<StepSpec> NO_STEPS =
            List.of(StepSpec.of(1, ResourceAmount.of(0, 0, 0), 1));

    /** State of a stored job. */
    public enum State {
        /** The tasks of the job are running or waiting. */
        OPEN,
        /** Every task is done. */
        COMPLETE,
        /** A task has reached the maximum number of failures of its queue. */
        FAILED,
        /** The job has been cancelled by its caller. */
        CANCELLED
    }

    /** Validates and copies the components. */
    public StoredJob {
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(state, "state");
        done = List.copyOf(done);
        Map<TaskId, Set<Integer>> copy = new HashMap<>();
        failedAttempts.forEach((task, attempts) -> copy.put(task, Set.copyOf(attempts)));
        failedAttempts = Map.copyOf(copy);
    }

    /**
     * Creates a stored job of which no task is done.
     *
     * @param spec the job, not null
     * @return the job, never null
     */
    public static StoredJob of(WorkSpec spec) {
        return new StoredJob(spec, State.OPEN, List.of(), Map.of());
    }

    /**
     * Returns a copy of the job in another state.
     *
     * @param next the state, not null
     * @return the changed job, never null
     */
    public StoredJob withState(State next) {
        return new StoredJob(spec, next, done, failedAttempts);
    }

    /**
     * Returns a copy without the work and its progress, which nothing needs once the job has ended.
     * Records of ended jobs are kept for minutes, so their size decides how many jobs can end.
     *
     * @return the job with its id, queue and state, never null
     */
    public StoredJob withoutWork() {
        WorkSpec empty =
                new WorkSpec(
                        spec.id(),
                        spec.service(),
                        "",
                        NO_STEPS,
                        spec.terms(),
                        spec.storedIn(),
                        spec.longRunning());
        return new StoredJob(empty, state, List.of(), Map.of());
    }

    /**
     * Estimates the memory that the job takes up.
     *
     * @return the memory in bytes
     */
    public long memoryBytes() {
        if (spec.steps() == NO_STEPS) {
            return ENDED_JOB_BYTES;
        }
        long tasks = 0;
        for (StepSpec step : spec.steps()) {
            tasks += step.tasks();
        }
        return spec.memoryBytes() + TASK_PROGRESS_BYTES * tasks;
    }

    /**
     * Checks whether the job has ended, so that none of its tasks will run any more.
     *
     * @return true unless it is open
     */
    public boolean isEnded() {
        return state != State.OPEN;
    }
}
