package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a backend server is ejected because its tasks fail or hang or it refuses commands,
 * although its directory entry shows no fault.
 *
 * <p>Designed for a load in which a tenth of the servers fail all tasks that they start. Healthy
 * servers fail only two tasks in a thousand, so the first failure already ejects a server for a
 * short time. After the ejection the server is probed with one task at a time until one is done.
 */
final class ServerHealth {

    /** Duration of the first ejection, about the run time of a few short tasks. */
    private static final long INITIAL_EJECTION_MILLIS = 300;

    /** Longest ejection, so that a recovered server is detected within seconds. */
    private static final long MAX_EJECTION_MILLIS = 4000;

    private long mEjectedUntilNanos;
    private long mEjectionMillis = INITIAL_EJECTION_MILLIS;
    private boolean mProbing;

    /**
     * Records a failure and ejects the server. Failures during an ejection do not prolong it, since
     * they may come from runs that began before it.
     */
    void recordFailure(long startedNanos, long nowNanos) {
        if (nowNanos < mEjectedUntilNanos && startedNanos < mEjectedUntilNanos) {
            return;
        }
        mProbing = true;
        mEjectedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(mEjectionMillis);
        mEjectionMillis = Math.min(2 * mEjectionMillis, MAX_EJECTION_MILLIS);
    }

    void recordSuccess() {
        mProbing = false;
        mEjectedUntilNanos = 0;
        mEjectionMillis = INITIAL_EJECTION_MILLIS;
    }

    boolean isEjected(long nowNanos) {
        return mProbing && nowNanos < mEjectedUntilNanos;
    }

    /** Returns true after a failure until a task is done. */
    boolean isProbing() {
        return mProbing;
    }
}
