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
     * @param order the order, not null
     * @param timeoutMillis after which it counts as unanswered, in milliseconds
     * @param answer takes the result, not null
     */
    void start(ServerCommand.Start order, long timeoutMillis, Consumer<StartResult> answer);

    /**
     * Sends the order to stop a task.
     *
     * @param order the order, not null
     * @param timeoutMillis after which it counts as unanswered, in milliseconds
     * @param answer takes the result, not null
     */
    void stop(ServerCommand.Stop order, long timeoutMillis, Consumer<StopResult> answer);

    /**
     * Asks what runs on a backend server.
     *
     * @param order the order, not null
     * @param timeoutMillis after which it counts as unanswered, in milliseconds
     * @param answer takes the result, not null
     */
    void poll(ServerCommand.Poll order, long timeoutMillis, Consumer<PollResult> answer);
}
