package org.wagtailproxy.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides whole places among claimants by their demand, equally on every instance that sees the
 * same demands.
 */
public final class Shares {

    private Shares() {}

    /**
     * Computes the share of one claimant.
     *
     * <p>Every claimant first gets places in proportion to its demand, where each demand counts as
     * at least a small idle demand; the places left over go to claimants in rotated order.
     *
     * @param places how many places there are, 0 or more
     * @param demands the demand of each claimant in an order that all instances share, not empty
     * @param own the position of the claimant
     * @param rotation spreads the rest over different places, for instance a hash
     * @return the number of places, from 0 to {@code places}
     */
    public static int computeShare(int places, List<Integer> demands, int own, int rotation) {
        long total = 0;
        for (int demand : demands) {
            total += weight(demand);
        }
        List<Integer> shares = new ArrayList<>(demands.size());
        int rest = places;
        for (int demand : demands) {
            int share = (int) (places * weight(demand) / total);
            shares.add(share);
            rest -= share;
        }
        int start = Math.floorMod(rotation, demands.size());
        int distance = Math.floorMod(own - start, demands.size());
        return shares.get(own) + (distance < rest ? 1 : 0);
    }

    /** An idle claimant keeps a foothold, so that its first tasks need not wait for an exchange. */
    private static long weight(int demand) {
        return 4L * demand + 1;
    }
}
