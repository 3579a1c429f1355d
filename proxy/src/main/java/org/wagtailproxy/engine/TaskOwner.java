package org.wagtailproxy.engine;

import io.vavr.control.Option;
import org.wagtailproxy.backend.SendOutcome;
import org.wagtailproxy.dispatch.Assignment;
import org.wagtailproxy.dispatch.QueuedTask;

/** Accounts for the tasks that the engine sends; called without locks of the engine held. */
public interface TaskOwner {

    /**
     * Asks for permission to send a task.
     *
     * @param assignment the task and its backend server, not null
     * @return what to send, none if the task must not be started any more
     */
    Option<OutgoingTask> startTask(Assignment assignment);

    /**
     * Reports what came of a task that was sent.
     *
     * @param assignment the task and its backend server, not null
     * @param outcome what came of it, not null
     * @return true if the task is to be queued again
     */
    boolean taskFinished(Assignment assignment, SendOutcome outcome);

    /**
     * Reports that a task waited too long.
     *
     * @param task the task, which is no longer queued, not null
     */
    void taskExpired(QueuedTask task);
}
