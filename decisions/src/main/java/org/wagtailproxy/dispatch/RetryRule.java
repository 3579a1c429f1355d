package org.wagtailproxy.dispatch;

/** Decides whether a task that was sent may be sent again. */
public final class RetryRule {

    /** How often an idempotent request is started again after an unknown outcome. */
    public static final int MAX_UNKNOWN_RETRIES = 2;

    private RetryRule() {}

    /**
     * Judges a result.
     *
     * @param result what came of the last attempt, not null
     * @param idempotent whether the task may be started more than once
     * @param unknownRetries how often it was started again after an unknown outcome
     * @return true if the task may be sent again
     */
    public static boolean maySendAgain(SendResult result, boolean idempotent, int unknownRetries) {
        if (result.isProvablyNotRun()) {
            return true;
        }
        return result == SendResult.UNKNOWN && idempotent && unknownRetries < MAX_UNKNOWN_RETRIES;
    }
}
