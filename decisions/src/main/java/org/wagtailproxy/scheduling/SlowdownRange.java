package org.wagtailproxy.scheduling;

import java.util.Collection;

/**
 * Summarizes the slowdowns of the usable servers, as run time divided by estimate.
 *
 * @param fastest the slowdown of a fast server
 * @param typical the median slowdown, assumed for servers that have not run anything
 */
record SlowdownRange(double fastest, double typical) {

    /** The quantile that counts as fast, so that a single low observation does not decide. */
    private static final double FAST_QUANTILE = 0.25;

    static SlowdownRange of(Collection<BackendServer> servers) {
        double[] slowdowns =
                servers.stream()
                        .filter(server -> server.slowdown().isObserved())
                        .mapToDouble(server -> server.slowdown().ratio(1))
                        .sorted()
                        .toArray();
        if (slowdowns.length == 0) {
            return new SlowdownRange(1, 1);
        }
        return new SlowdownRange(
                slowdowns[(int) (FAST_QUANTILE * slowdowns.length)],
                slowdowns[slowdowns.length / 2]);
    }
}
