package org.wagtailproxy.fleet;

import java.util.List;

/**
 * What a backend server answers when it is asked what runs there.
 *
 * @param clockMillis its clock in milliseconds
 * @param startedMillis when the incarnation started, in Unix milliseconds; 0 if it did not say
 * @param running what runs, not null
 * @param ended what has ended and was not acknowledged, in order; not null
 */
public record PollReport(
        long clockMillis, long startedMillis, List<RunReport> running, List<EndReport> ended) {

    /** Copies the lists. */
    public PollReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
