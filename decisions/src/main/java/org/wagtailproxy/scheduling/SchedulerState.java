package org.wagtailproxy.scheduling;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Represents the load of a scheduler at one moment.
 *
 * @param heldServers number of backend servers that have accepted this instance's fencing token
 * @param freeCpuMillis CPU capacity that is free on usable servers, in thousandths of a core; a
 *     remainder of a server that is too small for a typical task is left out
 * @param usedCpuMillis CPU capacity that tasks occupy on held servers, in thousandths of a core
 * @param waitingByPriority number of unstarted jobs by priority, not null
 */
public record SchedulerState(
        int heldServers,
        long freeCpuMillis,
        long usedCpuMillis,
        Map<Integer, Integer> waitingByPriority) {

    /** Makes an immutable copy of the map. */
    public SchedulerState {
        waitingByPriority = Map.copyOf(waitingByPriority);
    }

    static SchedulerState of(Collection<ScheduledJob> jobs, ServerSet servers, long nowNanos) {
        Map<Integer, Integer> waiting = new TreeMap<>();
        for (ScheduledJob job : jobs) {
            if (!job.isStarted() && !job.isEnded()) {
                waiting.merge(job.mSpec.terms().priority(), 1, Integer::sum);
            }
        }
        long used = 0;
        for (BackendServer server : servers.all()) {
            used += server.isHeld() ? server.usedCapacity().cpuMillis() : 0;
        }
        long free = Math.round(CapacityForecast.usefulFreeCpuMillis(servers.usable(nowNanos)));
        return new SchedulerState(servers.countHeld(), free, used, waiting);
    }
}
