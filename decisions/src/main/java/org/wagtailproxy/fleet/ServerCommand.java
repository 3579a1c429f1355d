package org.wagtailproxy.fleet;

import io.vavr.control.Option;
import org.wagtailproxy.workload.TaskId;

/** An order to a backend server, to be sent by whoever holds the connections. */
public sealed interface ServerCommand {

    /**
     * Returns who the order is for.
     *
     * @return the backend server, never null
     */
    CommandTarget target();

    /**
     * Starts a task.
     *
     * @param target who the order is for, not null
     * @param task which task, not null
     * @param attempt which of its starts, from 1
     * @param payload the text to start it with, not null
     * @param checkpoint from where it goes on, empty if it begins anew; not null
     * @param leaseUntilMillis until when everything there may run, on the backend server's clock
     */
    record Start(
            CommandTarget target,
            TaskId task,
            int attempt,
            String payload,
            String checkpoint,
            long leaseUntilMillis)
            implements ServerCommand {}

    /**
     * Stops a task.
     *
     * @param target who the order is for, not null
     * @param task which task, not null
     * @param attempt which of its starts
     */
    record Stop(CommandTarget target, TaskId task, int attempt) implements ServerCommand {}

    /**
     * Asks what runs there, acknowledges ends and extends the lease.
     *
     * @param target who the order is for, not null
     * @param number the position among the looks at this backend server, for matching the answer
     * @param acknowledged ends up to this number need not be listed again
     * @param leaseUntilMillis until when everything there may run, on the backend server's clock;
     *     none leaves the lease as it is
     * @param waitMillis how long the backend server may wait for an end before it answers
     */
    record Poll(
            CommandTarget target,
            long number,
            long acknowledged,
            Option<Long> leaseUntilMillis,
            long waitMillis)
            implements ServerCommand {}
}
