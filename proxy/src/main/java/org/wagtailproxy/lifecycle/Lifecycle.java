package org.wagtailproxy.lifecycle;

/** Where an instance stands between start and stop. */
public final class Lifecycle {

    private volatile boolean mReady;
    private volatile boolean mDraining;
    private volatile boolean mSealed;
    private volatile String mWaitingFor = "the first configuration";

    private Lifecycle() {}

    /**
     * Creates the state of an instance that starts.
     *
     * @return the state, never null
     */
    public static Lifecycle of() {
        return new Lifecycle();
    }

    /**
     * Tests whether the instance has configuration and has ever been able to serve.
     *
     * @return true if it has
     */
    public boolean hasBeenReady() {
        return mReady;
    }

    /**
     * Tests whether new callers may be sent here.
     *
     * @return true if they may
     */
    public boolean isReady() {
        return mReady && !mDraining && !mSealed;
    }

    /**
     * Tests whether the instance stops as planned.
     *
     * @return true if it does
     */
    public boolean isDraining() {
        return mDraining;
    }

    /**
     * Tests whether the instance has lost its authority.
     *
     * @return true if it has
     */
    public boolean isSealed() {
        return mSealed;
    }

    /**
     * Says why the instance is not ready.
     *
     * @return what it waits for, never null
     */
    public String waitingFor() {
        if (mSealed) {
            return "its replacement: it was sealed";
        }
        return mDraining ? "its stop" : mWaitingFor;
    }

    /** Marks the instance as able to serve. */
    public void markReady() {
        mReady = true;
    }

    /** Marks the instance as stopping. */
    public void markDraining() {
        mDraining = true;
    }

    /** Marks the instance as without authority. */
    public void markSealed() {
        mSealed = true;
    }

    /**
     * Sets what readiness waits for.
     *
     * @param what a phrase, not null
     */
    public void setWaitingFor(String what) {
        mWaitingFor = what;
    }
}
