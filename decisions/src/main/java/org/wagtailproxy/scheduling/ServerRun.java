package org.wagtailproxy.scheduling;

import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.TaskId;

/** Represents one attempt of a task on one backend server, from its start command to its end. */
final class ServerRun {

    /** The known state of a run. */
    enum State {
        /** The start command was sent. */
        STARTING,
        /** The start command got no answer: the task may be running, or may start later. */
        UNCERTAIN,
        /** The server has confirmed that the task runs. */
        RUNNING,
        /** The stop command was sent. */
        STOPPING,
        /** The stop command was acknowledged. The capacity is freed once the end is reported. */
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

    /** True until it is certain that the start command will not be carried out any more. */
    boolean mMayStartLate = true;

    /** Fencing token of the start command. */
    long mToken;

    /** True if the current incarnation of the server has listed the run. */
    boolean mListed;

    /** True if the job is a stored one, so that the end of the run has to be saved. */
    boolean mStored;

    /** True if the task runs until its job is cancelled, so that its progress has no meaning. */
    boolean mLongRunning;

    /** True if another instance started the run; its start time is estimated from its progress. */
    boolean mAdopted;

    ServerRun(TaskId task, int attempt, ResourceAmount demand, long estimateMillis, long nowNanos) {
        mTask = task;
        mAttempt = attempt;
        mDemand = demand;
        mEstimateMillis = estimateMillis;
        mSentNanos = nowNanos;
        mStateNanos = nowNanos;
    }

    boolean isStopRequested() {
        return mState == State.STOPPING || mState == State.STOPPED;
    }

    /** Discards what an earlier incarnation of the server has confirmed. */
    void onRestart(long nowNanos) {
        switch (mState) {
            case RUNNING -> enter(State.UNCERTAIN, nowNanos);
            case STOPPED -> enter(State.STOPPING, nowNanos);
            default -> {}
        }
        mMayStartLate = true;
    }

    void enter(State state, long nowNanos) {
        mState = state;
        mStateNanos = nowNanos;
        if (state == State.RUNNING || state == State.STOPPED) {
            mMayStartLate = false;
        }
    }
}
