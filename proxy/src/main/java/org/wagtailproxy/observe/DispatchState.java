package org.wagtailproxy.observe;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.wagtailproxy.scheduling.SchedulerState;

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

    /**
     * Adds up the states of the schedulers of an instance.
     *
     * @param openJobs number of jobs whose callers wait at this instance
     * @param leads whether the instance controls backend servers
     * @param schedulers the states of its schedulers, not null
     * @return the snapshot, never null
     */
    public static DispatchState of(
            int openJobs, boolean leads, Collection<SchedulerState> schedulers) {
        int heldServers = 0;
        long freeCpuMillis = 0;
        long usedCpuMillis = 0;
        Map<Integer, Integer> waiting = new TreeMap<>();
        for (SchedulerState scheduler : schedulers) {
            heldServers += scheduler.heldServers();
            freeCpuMillis += scheduler.freeCpuMillis();
            usedCpuMillis += scheduler.usedCpuMillis();
            scheduler
                    .waitingByPriority()
                    .forEach((priority, jobs) -> waiting.merge(priority, jobs, Integer::sum));
        }
        return new DispatchState(
                openJobs, leads, heldServers, freeCpuMillis, usedCpuMillis, waiting);
    }
}
