package org.wagtailproxy.scheduling;

import java.util.Collection;

/**
 * The slowdowns of the servers that can be used, as run time divided by estimate.
 *
 * @param fastest the pace of a fast server
 * @param usual the median pace, assumed for servers that have not run anything
 */
record SlowdownRange(double fastest, double usual) {

    /** The quantile that counts as fast; a single lucky observation does not. */
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
