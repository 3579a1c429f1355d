package org.wagtailproxy.engine;

import io.vavr.control.Option;
import org.wagtailproxy.backend.SendOutcome;
import org.wagtailproxy.dispatch.Assignment;
import org.wagtailproxy.dispatch.QueuedTask;

/**
 * Tracks the state of the tasks that the engine sends.
 *
 * <p>The engine calls these methods without holding any of its locks.
 */
public interface TaskOwner {

    /**
     * Marks a task as started, immediately before it is sent.
     *
     * @param assignment the task and its backend server, not null
     * @return the request to send, none if the task must no longer be started
     */
    Option<OutgoingTask> startTask(Assignment assignment);

    /**
     * Records the outcome of a task that was sent.
     *
     * @param assignment the task and its backend server, not null
     * @param outcome the outcome of the send, not null
     * @return true if the engine should queue the task again
     */
    boolean taskFinished(Assignment assignment, SendOutcome outcome);

    /**
     * Records that a task exceeded the queue timeout.
     *
     * @param task the task, which was removed from the queue, not null
     */
    void taskExpired(QueuedTask task);
}
