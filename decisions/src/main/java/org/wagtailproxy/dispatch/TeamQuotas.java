package org.wagtailproxy.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.wagtailproxy.identity.TeamName;

/**
 * Bounds the tasks in flight of each team by this instance's share of the team's quota.
 *
 * <p>Safe for use by several threads.
 */
public final class TeamQuotas {

    private final Object mLock = new Object();
    private final Map<TeamName, Integer> mLimits = new HashMap<>();
    private final Map<TeamName, Integer> mWeights = new HashMap<>();
    private final Map<TeamName, Integer> mInFlight = new HashMap<>();

    private TeamQuotas() {}

    /**
     * Creates quotas under which no team may start anything.
     *
     * @return the quotas, never null
     */
    public static TeamQuotas of() {
        return new TeamQuotas();
    }

    /**
     * Sets the share of one team.
     *
     * @param team the team, not null
     * @param limit how many of its tasks this instance may have in flight, 0 or more
     * @param weight its weight against other teams, 1 or more
     */
    public void updateLimit(TeamName team, int limit, int weight) {
        Objects.requireNonNull(team, "team");
        synchronized (mLock) {
            mLimits.put(team, limit);
            mWeights.put(team, weight);
        }
    }

    /**
     * Takes a place for a task if there is one.
     *
     * @param team the team, not null
     * @return true if the place was taken
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
     * Gives a place back.
     *
     * @param team the team, not null
     */
    public void release(TeamName team) {
        synchronized (mLock) {
            mInFlight.computeIfPresent(team, (key, count) -> count <= 1 ? null : count - 1);
        }
    }

    /**
     * Checks whether a place is free now.
     *
     * @param team the team, not null
     * @return true if a place is free
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
     * Returns how many tasks of a team are in flight.
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
