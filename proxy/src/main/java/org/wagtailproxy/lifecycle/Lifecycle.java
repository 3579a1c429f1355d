package org.wagtailproxy.lifecycle;

/**
 * Tracks the lifecycle state of an instance: whether it is ready, draining or sealed.
 *
 * <p>Safe for use by several threads.
 */
public final class Lifecycle {

    private volatile boolean mReady;
    private volatile boolean mDraining;
    private volatile boolean mSealed;
    private volatile String mWaitingFor = "the first configuration";

    private Lifecycle() {}

    /**
     * Creates the state of an instance that is starting.
     *
     * @return the state, never null
     */
    public static Lifecycle of() {
        return new Lifecycle();
    }

    /**
     * Checks whether the instance has ever been ready, that is, has had a configuration.
     *
     * @return true if {@link #markReady} was called, also if the instance drains or is sealed now
     */
    public boolean hasBeenReady() {
        return mReady;
    }

    /**
     * Checks whether the instance accepts new callers.
     *
     * @return true if it is ready and neither draining nor sealed
     */
    public boolean isReady() {
        return mReady && !mDraining && !mSealed;
    }

    /**
     * Checks whether a planned stop of the instance is in progress.
     *
     * @return true if it is
     */
    public boolean isDraining() {
        return mDraining;
    }

    /**
     * Checks whether the instance was sealed and has lost its authority over its jobs.
     *
     * @return true if it was sealed
     */
    public boolean isSealed() {
        return mSealed;
    }

    /**
     * Returns why the instance is not ready, for operators.
     *
     * @return the condition that the instance waits for, never null
     */
    public String waitingFor() {
        if (mSealed) {
            return "its replacement: it was sealed";
        }
        return mDraining ? "its stop" : mWaitingFor;
    }

    /** Marks the instance as ready to serve callers. */
    public void markReady() {
        mReady = true;
    }

    /** Marks the instance as draining before a planned stop. */
    public void markDraining() {
        mDraining = true;
    }

    /** Marks the instance as sealed. */
    public void markSealed() {
        mSealed = true;
    }

    /**
     * Sets the condition that the instance waits for before it becomes ready.
     *
     * @param condition a phrase, not null
     */
    public void setWaitingFor(String condition) {
        mWaitingFor = condition;
    }
}
