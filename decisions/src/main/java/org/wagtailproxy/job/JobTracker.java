package org.wagtailproxy.job;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.JobName;

/**
 * Tracks the state of every task of one job and derives its end, which is its final result.
 *
 * <p>A task is started at most once, unless it is certain that it was not run. The first final
 * failure of a task determines that the job fails: tasks that are still queued end as not run. Not
 * thread-safe; the owner synchronizes access.
 */
public final class JobTracker {

    private final JobName mName;
    private final JobSpec mSpec;
    private final ContentDigest mDigest;
    private final long mAcceptedNanos;
    private final TaskState[] mStates;
    private final String[] mAnswers;
    private final List<List<TaskEvent>> mEvents;
    private Option<Failure> mFailure = Option.none();
    private int mOpenTasks;

    private JobTracker(JobName name, JobSpec spec, long acceptedNanos) {
        mName = name;
        mSpec = spec;
        mDigest = spec.digest();
        mAcceptedNanos = acceptedNanos;
        mOpenTasks = spec.tasks().size();
        mStates = new TaskState[mOpenTasks];
        mAnswers = new String[mOpenTasks];
        mEvents = new ArrayList<>(mOpenTasks);
        for (int index = 0; index < mStates.length; index++) {
            mStates[index] = TaskState.QUEUED;
            mEvents.add(new ArrayList<>(2));
        }
    }

    /**
     * Creates the tracker of an accepted job.
     *
     * @param name the name, not null
     * @param spec the job, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the tracker, never null
     */
    public static JobTracker of(JobName name, JobSpec spec, long nowNanos) {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(spec, "spec");
        return new JobTracker(name, spec, nowNanos);
    }

    /**
     * Marks a queued task as sent.
     *
     * @param index the position of the task
     * @param backendServer the backend server to which it is sent, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the task may be sent, false if it has already been started or has ended
     */
    public boolean tryStart(int index, String backendServer, long nowNanos) {
        if (mStates[index] != TaskState.QUEUED) {
            return false;
        }
        mStates[index] = TaskState.SENT;
        recordEvent(index, TaskEvent.Kind.SENT, backendServer, "", nowNanos);
        return true;
    }

    /**
     * Queues a task again that was certainly not run.
     *
     * @param index the position of the task
     * @param backendServer the backend server that did not run it, not null
     * @param reason the reason, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the task is queued, false if it was not in flight or ended because the job
     *     has failed
     */
    public boolean requeue(int index, String backendServer, String reason, long nowNanos) {
        if (mStates[index] != TaskState.SENT) {
            return false;
        }
        if (mFailure.isDefined()) {
            endTask(index, TaskState.NOT_RUN, backendServer, reason, nowNanos);
            return false;
        }
        mStates[index] = TaskState.QUEUED;
        recordEvent(index, TaskEvent.Kind.QUEUED_AGAIN, backendServer, reason, nowNanos);
        return true;
    }

    /**
     * Records the answer of a task.
     *
     * @param index the position of the task
     * @param backendServer the backend server that answered, not null
     * @param answer the answer, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void recordAnswer(int index, String backendServer, String answer, long nowNanos) {
        if (mStates[index] != TaskState.SENT) {
            return;
        }
        mStates[index] = TaskState.ANSWERED;
        mAnswers[index] = Objects.requireNonNull(answer, "answer");
        mOpenTasks--;
        recordEvent(index, TaskEvent.Kind.ANSWERED, backendServer, "", nowNanos);
    }

    /**
     * Ends a task without an answer and fails the job.
     *
     * @param index the position of the task
     * @param backendServer the backend server involved, empty if none
     * @param failure the failure, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void fail(int index, String backendServer, Failure failure, long nowNanos) {
        if (mStates[index].isFinal()) {
            return;
        }
        mFailure = mFailure.orElse(Option.some(failure));
        endTask(index, finalState(failure), backendServer, failure.kind().slug(), nowNanos);
        failJob(failure, nowNanos);
    }

    /**
     * Fails the job. Queued tasks end as not run; sent tasks stay in flight until their results
     * arrive.
     *
     * @param failure the failure, not null; ignored if every task has a final state; the first
     *     failure of a job stays
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void failJob(Failure failure, long nowNanos) {
        Objects.requireNonNull(failure, "failure");
        if (isSettled()) {
            return;
        }
        mFailure = mFailure.orElse(Option.some(failure));
        for (int index = 0; index < mStates.length; index++) {
            if (mStates[index] == TaskState.QUEUED) {
                endTask(index, TaskState.NOT_RUN, "", failure.kind().slug(), nowNanos);
            }
        }
    }

    /**
     * Checks whether every task has a final state.
     *
     * @return true if the end of the job is determined
     */
    public boolean isSettled() {
        return mOpenTasks == 0;
    }

    /**
     * Returns the state of the job: running until every task has a final state.
     *
     * @return the state, never null
     */
    public JobState state() {
        if (!isSettled()) {
            return JobState.RUNNING;
        }
        return mFailure.isDefined() ? JobState.FAILED : JobState.COMPLETE;
    }

    /**
     * Returns the first failure of the job.
     *
     * @return the failure, none if there is none
     */
    public Option<Failure> failure() {
        return mFailure;
    }

    /**
     * Returns the name.
     *
     * @return the name, never null
     */
    public JobName name() {
        return mName;
    }

    /**
     * Returns the job as submitted.
     *
     * @return the specification, never null
     */
    public JobSpec spec() {
        return mSpec;
    }

    /**
     * Returns the digest of the content.
     *
     * @return the digest, never null
     */
    public ContentDigest digest() {
        return mDigest;
    }

    /**
     * Returns when the job was accepted.
     *
     * @return the monotonic time in nanoseconds
     */
    public long acceptedNanos() {
        return mAcceptedNanos;
    }

    /**
     * Returns the state of a task.
     *
     * @param index the position of the task
     * @return the state, never null
     */
    public TaskState taskState(int index) {
        return mStates[index];
    }

    /**
     * Returns the answer of a task.
     *
     * @param index the position of the task
     * @return the answer, none if there is none
     */
    public Option<String> answer(int index) {
        return Option.of(mAnswers[index]);
    }

    /**
     * Returns the events of a task in order, without the event of its acceptance.
     *
     * @param index the position of the task
     * @return a copy, never null
     */
    public List<TaskEvent> events(int index) {
        return List.copyOf(mEvents.get(index));
    }

    /**
     * Counts the tasks that are not final.
     *
     * @return the number, 0 once settled
     */
    public int openTasks() {
        return mOpenTasks;
    }

    private void endTask(int index, TaskState state, String server, String reason, long nowNanos) {
        mStates[index] = state;
        mOpenTasks--;
        recordEvent(index, TaskEvent.Kind.ENDED, server, reason, nowNanos);
    }

    private void recordEvent(
            int index, TaskEvent.Kind kind, String server, String reason, long nowNanos) {
        long atMilliseconds = TimeUnit.NANOSECONDS.toMillis(nowNanos - mAcceptedNanos);
        mEvents.get(index).add(TaskEvent.of(atMilliseconds, kind, server, reason));
    }

    private static TaskState finalState(Failure failure) {
        return switch (failure.kind().executed()) {
            case NO -> TaskState.NOT_RUN;
            case YES -> TaskState.FAILED;
            case UNKNOWN ->
                    failure.kind() == FailureKind.CANCELLED
                            ? TaskState.NOT_RUN
                            : TaskState.OUTCOME_UNKNOWN;
        };
    }
}
