package org.wagtailproxy.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.wagtailproxy.identity.TeamName;

/**
 * Limits the tasks in flight of each team to this instance's share of the team's quota.
 *
 * <p>Thread-safe.
 */
public final class TeamQuotas {

    private final Object mLock = new Object();
    private final Map<TeamName, Integer> mLimits = new HashMap<>();
    private final Map<TeamName, Integer> mWeights = new HashMap<>();
    private final Map<TeamName, Integer> mInFlight = new HashMap<>();

    private TeamQuotas() {}

    /**
     * Creates quotas by which no team may start a task.
     *
     * @return the quotas, never null
     */
    public static TeamQuotas of() {
        return new TeamQuotas();
    }

    /**
     * Updates the limit and the weight of a team.
     *
     * @param team the team, not null
     * @param limit the number of its tasks that this instance may have in flight, 0 or more
     * @param weight its weight relative to other teams, 1 or more
     */
    public void updateLimit(TeamName team, int limit, int weight) {
        Objects.requireNonNull(team, "team");
        synchronized (mLock) {
            mLimits.put(team, limit);
            mWeights.put(team, weight);
        }
    }

    /**
     * Counts one more task in flight if the limit of the team allows it.
     *
     * @param team the team, not null
     * @return true if the task was counted
     */
    public boolean tryAcquire(TeamName team) {
        synchronized (mLock) {
            int inFlight = mInFlight.getOrDefault(team, 0);
            if (inFlight >= mLimits.getOrDefault(team, 0)) {
                return false;
            }
            mInFlight.put(team, inFlight + 1);
            return true;
        }
    }

    /**
     * Counts one task in flight less.
     *
     * @param team the team, not null
     */
    public void release(TeamName team) {
        synchronized (mLock) {
            mInFlight.computeIfPresent(team, (key, count) -> count <= 1 ? null : count - 1);
        }
    }

    /**
     * Checks whether a team may have one more task in flight.
     *
     * @param team the team, not null
     * @return true if its limit is not reached
     */
    public boolean hasCapacity(TeamName team) {
        synchronized (mLock) {
            return mInFlight.getOrDefault(team, 0) < mLimits.getOrDefault(team, 0);
        }
    }

    /**
     * Returns the weight of a team.
     *
     * @param team the team, not null
     * @return the weight, 1 if none is set
     */
    public int weight(TeamName team) {
        synchronized (mLock) {
            return mWeights.getOrDefault(team, 1);
        }
    }

    /**
     * Returns the number of tasks of a team that are in flight.
     *
     * @param team the team, not null
     * @return the number, 0 or more
     */
    public int inFlight(TeamName team) {
        synchronized (mLock) {
            return mInFlight.getOrDefault(team, 0);
        }
    }
}
