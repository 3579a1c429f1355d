package org.wagtailproxy.fleet;

import io.vavr.control.Option;
import org.wagtailproxy.workload.TaskId;

/** Represents a command to a backend server. The owner of the connections sends it. */
public sealed interface ServerCommand {

    /**
     * Returns the target of the command.
     *
     * @return the backend server, its address and the fencing token; never null
     */
    CommandTarget target();

    /**
     * Starts a task.
     *
     * @param target the target of the command, not null
     * @param task the task, not null
     * @param attempt the number of the attempt, from 1
     * @param payload the textual input of the task, not null
     * @param checkpoint where the task resumes, empty if it starts from the beginning; not null
     * @param leaseUntilMillis when the lease of all runs on the backend server ends, in
     *     milliseconds of its clock
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
     * @param target the target of the command, not null
     * @param task the task, not null
     * @param attempt the number of the attempt, from 1
     */
    record Stop(CommandTarget target, TaskId task, int attempt) implements ServerCommand {}

    /**
     * Polls the backend server: requests a report of its runs, acknowledges ends and extends the
     * lease.
     *
     * @param target the target of the command, not null
     * @param number the sequence number among the polls of this backend server, to match the answer
     * @param acknowledgement the ends that need not be listed again; it is sent only if the backend
     *     server is certain to be in the same incarnation, not null
     * @param leaseUntilMillis when the lease of all runs on the backend server ends, in
     *     milliseconds of its clock; none leaves the lease as it is
     * @param waitMillis how long the backend server may wait for an end before it answers, in
     *     milliseconds
     */
    record Poll(
            CommandTarget target,
            long number,
            EndAcknowledgement acknowledgement,
            Option<Long> leaseUntilMillis,
            long waitMillis)
            implements ServerCommand {}
}
