package org.wagtailproxy.fleet;

import java.util.List;

/**
 * Represents a backend server's answer to a poll.
 *
 * @param clockMillis the server's clock in milliseconds
 * @param startedMillis when the incarnation started, in Unix milliseconds; 0 if not reported
 * @param running the runs in progress, not null
 * @param ended the ended runs that have not been acknowledged, in order of their numbers; not null
 */
public record PollReport(
        long clockMillis, long startedMillis, List<RunReport> running, List<EndReport> ended) {

    /** Copies the lists. */
    public PollReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
