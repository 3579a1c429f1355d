package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Who waits at a leader for the outcome of a job. Confined to the event loop. */
final class PendingJob {

    private final ServiceName mService;
    private final int mPriority;
    private final long mObjectiveMillis;
    private final Map<InstanceName, Consumer<Either<WorkProgress, WorkOutcome>>> mHomes =
            new TreeMap<>();
    private long mArrivedNanos;
    private long mDeadlineNanos;
    private boolean mMayForward;
    private boolean mStarted;

    PendingJob(WorkSpec spec) {
        mService = spec.service();
        mPriority = spec.terms().priority();
        mObjectiveMillis = spec.objectiveMillis();
    }

    /** Takes over what the instance that passes the job on tells. */
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

    /** Tests whether the job's objective has passed. */
    boolean isPastObjective(long nowNanos) {
        return nowNanos - mArrivedNanos > TimeUnit.MILLISECONDS.toNanos(mObjectiveMillis);
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Tests whether another data centre may run the job. */
    boolean mayForward() {
        return mMayForward;
    }

    /** Takes note that a task has been started; returns true the first time. */
    boolean markStarted() {
        boolean first = !mStarted;
        mStarted = true;
        return first;
    }

    /** Returns the instances that answer callers, each with what takes the outcome. */
    Map<InstanceName, Consumer<Either<WorkProgress, WorkOutcome>>> homes() {
        return mHomes;
    }
}
