package org.wagtailproxy.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides slots among instances by their demand. All instances that use the same demands compute
 * the same division.
 */
public final class Shares {

    private Shares() {}

    /**
     * Computes the share of one instance.
     *
     * <p>Every instance first gets slots in proportion to the weight of its demand, which is above
     * 0 even without demand. The remaining slots go to the instances in rotated order, one each.
     *
     * @param slots the number of slots, 0 or more
     * @param demands the demand of each instance in an order that all instances use, not empty
     * @param ownIndex the index of the instance
     * @param rotation the start of the rotated order, for example a hash of the backend server,
     *     which spreads the remaining slots over the instances
     * @return the number of slots, from 0 to {@code slots}
     */
    public static int computeShare(int slots, List<Integer> demands, int ownIndex, int rotation) {
        long total = 0;
        for (int demand : demands) {
            total += weight(demand);
        }
        List<Integer> shares = new ArrayList<>(demands.size());
        int remaining = slots;
        for (int demand : demands) {
            int share = (int) (slots * weight(demand) / total);
            shares.add(share);
            remaining -= share;
        }
        int start = Math.floorMod(rotation, demands.size());
        int distance = Math.floorMod(ownIndex - start, demands.size());
        return shares.get(ownIndex) + (distance < remaining ? 1 : 0);
    }

    /**
     * Returns the weight of a demand. An idle instance has a small weight, so that its first tasks
     * need not wait until the instances have exchanged their demands.
     */
    private static long weight(int demand) {
        return 4L * demand + 1;
    }
}
