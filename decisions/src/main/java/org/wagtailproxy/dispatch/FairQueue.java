package org.wagtailproxy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.TeamName;

/**
 * Queues tasks by team and serves the team with the fewest tasks in flight relative to its weight.
 *
 * <p>A task that was not run returns to the front of the tasks of its team with a similar declared
 * run time. Not thread-safe; the owner synchronizes access.
 */
final class FairQueue {

    private final Map<TeamName, TeamQueue> mByTeam = new TreeMap<>();
    private final Map<TeamName, Integer> mInFlightByTeam = new TreeMap<>();
    private int mSize;

    int size() {
        return mSize;
    }

    int size(TeamName team) {
        TeamQueue queue = mByTeam.get(team);
        return queue == null ? 0 : queue.size();
    }

    Map<TeamName, Integer> demandByTeam() {
        Map<TeamName, Integer> demand = new TreeMap<>(mInFlightByTeam);
        mByTeam.forEach((team, queue) -> demand.merge(team, queue.size(), Integer::sum));
        return demand;
    }

    void addLast(QueuedTask task) {
        mByTeam.computeIfAbsent(task.team(), team -> new TeamQueue()).addLast(task);
        mSize++;
    }

    void addFirst(QueuedTask task) {
        mByTeam.computeIfAbsent(task.team(), team -> new TeamQueue()).addFirst(task);
        mSize++;
    }

    /**
     * Returns the next task of the allowed team with the fewest tasks in flight relative to its
     * weight.
     */
    Optional<QueuedTask> peek(
            Predicate<TeamName> allowed,
            ToIntFunction<TeamName> weight,
            boolean byRatio,
            long nowNanos) {
        TeamQueue selected = null;
        double minShare = Double.MAX_VALUE;
        for (Map.Entry<TeamName, TeamQueue> entry : mByTeam.entrySet()) {
            TeamName team = entry.getKey();
            if (entry.getValue().size() == 0 || !allowed.test(team)) {
                continue;
            }
            double weightedShare = inFlight(team) / (double) Math.max(1, weight.applyAsInt(team));
            if (weightedShare < minShare) {
                minShare = weightedShare;
                selected = entry.getValue();
            }
        }
        return Optional.ofNullable(selected).map(queue -> queue.peek(byRatio, nowNanos));
    }

    /** Removes the task that {@link #peek} returned and counts it as in flight. */
    void start(QueuedTask task) {
        mByTeam.get(task.team()).removeFirst(task);
        mSize--;
        mInFlightByTeam.merge(task.team(), 1, Integer::sum);
    }

    void finish(TeamName team) {
        mInFlightByTeam.computeIfPresent(team, (key, count) -> count <= 1 ? null : count - 1);
    }

    int inFlight(TeamName team) {
        return mInFlightByTeam.getOrDefault(team, 0);
    }

    int removeJob(JobName job) {
        int removed = 0;
        for (TeamQueue queue : mByTeam.values()) {
            removed += queue.removeIf(task -> task.task().job().equals(job));
        }
        mSize -= removed;
        return removed;
    }

    List<QueuedTask> removeExpired(long nowNanos) {
        List<QueuedTask> expired = new ArrayList<>();
        for (TeamQueue queue : mByTeam.values()) {
            queue.removeIf(task -> isExpired(task, nowNanos) && expired.add(task));
        }
        mByTeam.values().removeIf(queue -> queue.size() == 0);
        mSize -= expired.size();
        return expired;
    }

    private static boolean isExpired(QueuedTask task, long nowNanos) {
        return nowNanos - task.deadlineNanos() >= 0;
    }
}
