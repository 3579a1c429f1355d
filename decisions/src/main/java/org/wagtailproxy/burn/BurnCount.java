package org.wagtailproxy.burn;

/**
 * Represents the jobs counted over a window.
 *
 * @param met jobs that met their objective, 0 or more
 * @param missed jobs that missed their objective, 0 or more
 */
public record BurnCount(long met, long missed) {

    private static final int PER_MILLE = 1000;

    /** Validates the components. */
    public BurnCount {
        if (met < 0 || missed < 0) {
            throw new IllegalArgumentException("a count is negative");
        }
    }

    /**
     * Creates a count.
     *
     * @param met jobs that met their objective
     * @param missed jobs that missed their objective
     * @return the count, never null
     */
    public static BurnCount of(long met, long missed) {
        return new BurnCount(met, missed);
    }

    /**
     * Adds another count.
     *
     * @param other the other count, not null
     * @return the sum, never null
     */
    public BurnCount plus(BurnCount other) {
        return of(met + other.met, missed + other.missed);
    }

    /**
     * Returns the rate at which the error budget is used; at a rate of 1 it is used up exactly at
     * the end of its period.
     *
     * @param targetPerMille jobs of a thousand that must meet the objective, 1 to 999
     * @return the burn rate, 0 if nothing was counted
     */
    public double burnRate(int targetPerMille) {
        long total = met + missed;
        if (total == 0) {
            return 0;
        }
        double allowed = (PER_MILLE - targetPerMille) / (double) PER_MILLE;
        return missed / (double) total / allowed;
    }
}
