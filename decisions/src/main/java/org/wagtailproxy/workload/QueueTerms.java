package org.wagtailproxy.workload;

/**
 * What the queue that took a job in grants it.
 *
 * @param priority 0 is served first
 * @param slackFactor how many times its work a job may take within its objective
 * @param targetMillis time in milliseconds that the objective allows beyond that
 * @param maxFailures how often a task may fail before the job does, 1 or more
 */
public record QueueTerms(int priority, double slackFactor, long targetMillis, int maxFailures) {

    /** Checks the components. */
    public QueueTerms {
        if (maxFailures < 1) {
            throw new IllegalArgumentException("mostFailures must be positive");
        }
    }

    /**
     * Creates terms.
     *
     * @param priority 0 is served first
     * @param slackFactor how many times its work a job may take within its objective
     * @param targetMillis time in milliseconds that the objective allows beyond that
     * @param maxFailures how often a task may fail before the job does, 1 or more
     * @return the terms, never null
     */
    public static QueueTerms of(
            int priority, double slackFactor, long targetMillis, int maxFailures) {
        return new QueueTerms(priority, slackFactor, targetMillis, maxFailures);
    }
}
