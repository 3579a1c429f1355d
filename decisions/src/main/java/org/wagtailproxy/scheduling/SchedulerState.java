package org.wagtailproxy.scheduling;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a scheduler holds at a moment.
 *
 * @param heldServers backend servers that it gives orders to
 * @param freeCpuMillis processor room that no task takes up on servers that may take one, in
 *     thousandths of a core
 * @param usedCpuMillis processor room that tasks take up, in thousandths of a core
 * @param waitingByPriority jobs that have not begun, not null
 */
public record SchedulerState(
        int heldServers,
        long freeCpuMillis,
        long usedCpuMillis,
        Map<Integer, Integer> waitingByPriority) {

    /** Copies the map. */
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
