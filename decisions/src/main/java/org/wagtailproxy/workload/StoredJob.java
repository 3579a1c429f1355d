package org.wagtailproxy.workload;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A job that is kept in the store, and how far it is.
 *
 * @param spec the job, not null
 * @param state where it stands, not null
 * @param done tasks that are done, not null
 * @param failures how often each task has failed, without those that have not; not null
 */
public record StoredJob(
        WorkSpec spec, State state, List<TaskId> done, Map<TaskId, Integer> failures) {

    /** Where a stored job stands. */
    public enum State {
        /** Its tasks run or wait. */
        OPEN,
        /** Every task is done. */
        COMPLETE,
        /** A task has failed as often as its queue allows. */
        FAILED,
        /** Its caller has cancelled it. */
        CANCELLED
    }

    /** Checks and copies the components. */
    public StoredJob {
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(state, "state");
        done = List.copyOf(done);
        failures = Map.copyOf(failures);
    }

    /**
     * Creates a job of which nothing is done.
     *
     * @param spec the job, not null
     * @return the job, never null
     */
    public static StoredJob of(WorkSpec spec) {
        return new StoredJob(spec, State.OPEN, List.of(), Map.of());
    }

    /**
     * Returns the job in another state.
     *
     * @param next the state, not null
     * @return the changed job, never null
     */
    public StoredJob withState(State next) {
        return new StoredJob(spec, next, done, failures);
    }

    /**
     * Tests whether nothing of the job will run any more.
     *
     * @return true unless it is open
     */
    public boolean ended() {
        return state != State.OPEN;
    }
}
