package org.wagtailproxy.dispatch;

/** Decides from the result of the last attempt whether a task may be sent again. */
public final class RetryRule {

    /**
     * Maximum number of times that an idempotent request is started again after an unknown outcome.
     */
    public static final int MAX_UNKNOWN_RETRIES = 2;

    private RetryRule() {}

    /**
     * Checks whether a task may be sent again.
     *
     * @param result the result of the last attempt, not null
     * @param idempotent true if the task may be started more than once
     * @param unknownRetries the number of times that it was started again after an unknown outcome
     * @return true if the task may be sent again
     */
    public static boolean maySendAgain(SendResult result, boolean idempotent, int unknownRetries) {
        if (result.isProvablyNotRun()) {
            return true;
        }
        return result == SendResult.UNKNOWN && idempotent && unknownRetries < MAX_UNKNOWN_RETRIES;
    }
}
