package org.wagtailproxy.dispatcher;

import java.util.function.Consumer;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.StartAnswer;
import org.wagtailproxy.fleet.StopResult;

/**
 * Sends commands to backend servers. Calls return at once; results are delivered on the event loop.
 */
public interface CommandTransport {

    /**
     * Sends the command to start a task. It is never sent twice.
     *
     * @param command the command, not null
     * @param timeoutMillis the time after which it counts as unanswered, in milliseconds
     * @param answer receives the result, not null
     */
    void start(ServerCommand.Start command, long timeoutMillis, Consumer<StartAnswer> answer);

    /**
     * Sends the command to stop a task.
     *
     * @param command the command, not null
     * @param timeoutMillis the time after which it counts as unanswered, in milliseconds
     * @param answer receives the result, not null
     */
    void stop(ServerCommand.Stop command, long timeoutMillis, Consumer<StopResult> answer);

    /**
     * Polls a backend server: asks which tasks run on it.
     *
     * @param command the command, not null
     * @param timeoutMillis the time after which it counts as unanswered, in milliseconds
     * @param answer receives the result, not null
     */
    void poll(ServerCommand.Poll command, long timeoutMillis, Consumer<PollResult> answer);
}
