package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * A job that its leader has not ended, with the home instances that wait for its outcome. Confined
 * to the event loop.
 */
final class PendingJob {

    /** The answer to a home instance that must not submit the job to another leader. */
    static final WorkOutcome RUNS_FOR_ANOTHER_HOME =
            WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "runs for another home");

    private final ServiceName mService;
    private final int mPriority;
    private final long mObjectiveMillis;
    private final long mMemoryBytes;
    private final Map<HomeProcess, Consumer<Either<WorkProgress, WorkOutcome>>> mHomes =
            new LinkedHashMap<>();
    private final Set<HomeProcess> mForwarders = new HashSet<>();
    private long mArrivedNanos;
    private long mDeadlineNanos;
    private boolean mMayForward;
    private boolean mStarted;

    PendingJob(WorkSpec spec) {
        mService = spec.service();
        mPriority = spec.terms().priority();
        mObjectiveMillis = spec.objectiveMillis();
        mMemoryBytes = spec.memoryBytes();
    }

    /** Returns the memory that the job takes up, in bytes. */
    long memoryBytes() {
        return mMemoryBytes;
    }

    /**
     * Adds a home instance as the last one, or replaces the consumer of its outcome.
     *
     * @param isForwarder true if it is the leader of another data centre, which forwards the job
     */
    void addHome(
            HomeProcess home,
            boolean isForwarder,
            Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        mHomes.remove(home);
        mHomes.put(home, answer);
        if (isForwarder) {
            mForwarders.add(home);
        } else {
            mForwarders.remove(home);
        }
    }

    /** Checks whether a home instance is a leader that forwards the job for others. */
    boolean isForwarder(HomeProcess home) {
        return mForwarders.contains(home);
    }

    /** Updates the terms of the job to those of the last submission. */
    void updateSubmission(long arrivedNanos, long deadlineNanos, boolean mayForward) {
        mArrivedNanos = arrivedNanos;
        mDeadlineNanos = deadlineNanos;
        mMayForward = mayForward;
    }

    ServiceName service() {
        return mService;
    }

    int priority() {
        return mPriority;
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    /** Checks whether the time since the arrival exceeds the job's objective. */
    boolean isPastObjective(long nowNanos) {
        return nowNanos - mArrivedNanos > TimeUnit.MILLISECONDS.toNanos(mObjectiveMillis);
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Checks whether the job may be forwarded to another data centre. */
    boolean mayForward() {
        return mMayForward;
    }

    /**
     * Records that a task has been started.
     *
     * @return true on the first call
     */
    boolean markStarted() {
        boolean first = !mStarted;
        mStarted = true;
        return first;
    }

    /**
     * Hands the job back to the home instance that joined last, where the caller most likely still
     * waits. The others are told that the job is abandoned: homes may follow different leaders
     * next, and each of these would start the tasks.
     */
    void handBack(WorkProgress progress) {
        int others = mHomes.size() - 1;
        for (Consumer<Either<WorkProgress, WorkOutcome>> answer : List.copyOf(mHomes.values())) {
            answer.accept(others > 0 ? Either.right(RUNS_FOR_ANOTHER_HOME) : Either.left(progress));
            others--;
        }
    }

    /** Returns the home instances, each with the consumer of the outcome. */
    Map<HomeProcess, Consumer<Either<WorkProgress, WorkOutcome>>> homes() {
        return mHomes;
    }
}
