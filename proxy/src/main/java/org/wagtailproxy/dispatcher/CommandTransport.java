package org.wagtailproxy.dispatcher;

import java.util.function.Consumer;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;

/** Sends orders to backend servers. Calls return at once; answers come on the event loop. */
public interface CommandTransport {

    /**
     * Sends the order to start a task. Never sent twice.
     *
     * @param command the order, not null
     * @param timeoutMillis after which it counts as unanswered, in milliseconds
     * @param answer takes the result, not null
     */
    void start(ServerCommand.Start command, long timeoutMillis, Consumer<StartResult> answer);

    /**
     * Sends the order to stop a task.
     *
     * @param command the order, not null
     * @param timeoutMillis after which it counts as unanswered, in milliseconds
     * @param answer takes the result, not null
     */
    void stop(ServerCommand.Stop command, long timeoutMillis, Consumer<StopResult> answer);

    /**
     * Asks what runs on a backend server.
     *
     * @param command the order, not null
     * @param timeoutMillis after which it counts as unanswered, in milliseconds
     * @param answer takes the result, not null
     */
    void poll(ServerCommand.Poll command, long timeoutMillis, Consumer<PollResult> answer);
}
