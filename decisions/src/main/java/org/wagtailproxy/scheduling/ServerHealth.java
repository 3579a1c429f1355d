package org.wagtailproxy.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Ejects a backend server that fails, hangs or refuses while its directory entry looks good.
 *
 * <p>Answers the load in which a tenth of the servers fail all that they start: since sound servers
 * fail two tasks in a thousand, a first failure already ejects for a short time. After that one
 * task at a time probes it until one is done.
 */
final class ServerHealth {

    /** First time out; about the run time of a few short tasks. */
    private static final long INITIAL_EJECTION_MILLIS = 300;

    /** Longest time out, so that a server that has recovered is found within seconds. */
    private static final long MAX_EJECTION_MILLIS = 4000;

    private long mEjectedUntilNanos;
    private long mEjectionMillis = INITIAL_EJECTION_MILLIS;
    private boolean mProbing;

    /** Counts a failure. Failures of runs that began before the ejection do not prolong it. */
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

    /** True until a task is done after a failure. */
    boolean isProbing() {
        return mProbing;
    }
}
