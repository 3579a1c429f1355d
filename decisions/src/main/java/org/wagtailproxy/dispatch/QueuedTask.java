package org.wagtailproxy.dispatch;

import java.util.Objects;
import org.wagtailproxy.identity.TeamName;

/**
 * Represents a task that waits to be started.
 *
 * @param task the reference of the task, not null
 * @param team the team whose quota it uses, not null
 * @param declaredMilliseconds its declared run time, 1 or more
 * @param attempts the number of earlier attempts that were not run
 * @param queuedNanos the monotonic time at which it was first queued
 * @param deadlineNanos the monotonic time after which it ends as not run
 */
public record QueuedTask(
        TaskRef task,
        TeamName team,
        long declaredMilliseconds,
        int attempts,
        long queuedNanos,
        long deadlineNanos) {

    /** Validates the components. */
    public QueuedTask {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(team, "team");
    }

    /**
     * Creates a task without earlier attempts.
     *
     * @param task the reference of the task, not null
     * @param team the team whose quota it uses, not null
     * @param declaredMilliseconds its declared run time, 1 or more
     * @param queuedNanos the monotonic time at which it was first queued
     * @param deadlineNanos the monotonic time after which it ends as not run
     * @return the task, never null
     */
    public static QueuedTask of(
            TaskRef task,
            TeamName team,
            long declaredMilliseconds,
            long queuedNanos,
            long deadlineNanos) {
        return new QueuedTask(task, team, declaredMilliseconds, 0, queuedNanos, deadlineNanos);
    }

    /**
     * Returns this task with one more attempt that was not run.
     *
     * @return the task with the increased number of attempts, never null
     */
    public QueuedTask withAnotherAttempt() {
        return new QueuedTask(
                task, team, declaredMilliseconds, attempts + 1, queuedNanos, deadlineNanos);
    }
}
