package org.wagtailproxy.workload;

/**
 * Defines the terms that a queue grants to its jobs: priority, objective and number of failures.
 *
 * <p>The objective of a job is the slack factor times its critical path, plus the target time.
 *
 * @param priority the priority, 0 is the most urgent
 * @param slackFactor factor on the estimated run time of the job's critical path
 * @param targetMillis time in milliseconds that is added to the product
 * @param maxFailures number of failures of one task at which the job fails, 1 or more
 */
public record QueueTerms(int priority, double slackFactor, long targetMillis, int maxFailures) {

    /** Validates the components. */
    public QueueTerms {
        if (maxFailures < 1) {
            throw new IllegalArgumentException("mostFailures must be positive");
        }
    }

    /**
     * Creates the terms of a queue.
     *
     * @param priority the priority, 0 is the most urgent
     * @param slackFactor factor on the estimated run time of the job's critical path
     * @param targetMillis time in milliseconds that is added to the product
     * @param maxFailures number of failures of one task at which the job fails, 1 or more
     * @return the terms, never null
     */
    public static QueueTerms of(
            int priority, double slackFactor, long targetMillis, int maxFailures) {
        return new QueueTerms(priority, slackFactor, targetMillis, maxFailures);
    }
}
