package org.wagtailproxy.observe;

import java.util.Map;

/**
 * Represents a snapshot of the dispatcher of an instance, for metrics.
 *
 * @param openJobs number of jobs whose callers wait at this instance
 * @param leads whether the instance controls backend servers
 * @param heldServers number of held backend servers, those that have accepted its fencing token
 * @param freeCpuMillis free processor capacity of the held servers, in thousandths of a core
 * @param usedCpuMillis processor capacity of the held servers that tasks use, in thousandths of a
 *     core
 * @param waitingByPriority number of unstarted jobs by priority, not null
 */
public record DispatchState(
        int openJobs,
        boolean leads,
        int heldServers,
        long freeCpuMillis,
        long usedCpuMillis,
        Map<Integer, Integer> waitingByPriority) {

    /** Copies the map. */
    public DispatchState {
        waitingByPriority = Map.copyOf(waitingByPriority);
    }
}
