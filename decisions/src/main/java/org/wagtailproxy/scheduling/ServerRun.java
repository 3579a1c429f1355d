package org.wagtailproxy.scheduling;

import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.TaskId;

/** One start of a task on one backend server, from the order to its proved end. */
final class ServerRun {

    /** What is known of a run. */
    enum State {
        /** The order was sent. */
        STARTING,
        /** No answer came to the order: it may run, or may start later. */
        UNCERTAIN,
        /** It runs. */
        RUNNING,
        /** The order to stop it was sent. */
        STOPPING,
        /** The order to stop it was acknowledged; its room is free once the end is listed. */
        STOPPED
    }

    final TaskId mTask;
    final int mAttempt;
    final ResourceAmount mDemand;
    final long mEstimateMillis;
    final long mSentNanos;
    State mState = State.STARTING;
    long mStateNanos;
    int mPercent;
    boolean mMayStartLate;

    /** True if its job is a stored one, whose ends have to be saved. */
    boolean mStored;

    /** True if it runs until its job is cancelled, so that its progress says nothing. */
    boolean mLongRunning;

    /** True if another instance started it; when it did is guessed from how much is done. */
    boolean mAdopted;

    ServerRun(TaskId task, int attempt, ResourceAmount demand, long estimateMillis, long nowNanos) {
        mTask = task;
        mAttempt = attempt;
        mDemand = demand;
        mEstimateMillis = estimateMillis;
        mSentNanos = nowNanos;
        mStateNanos = nowNanos;
    }

    boolean stopOrdered() {
        return mState == State.STOPPING || mState == State.STOPPED;
    }

    void enter(State state, long nowNanos) {
        mState = state;
        mStateNanos = nowNanos;
        if (state == State.UNCERTAIN) {
            mMayStartLate = true;
        } else if (state == State.RUNNING) {
            mMayStartLate = false;
        }
    }
}
