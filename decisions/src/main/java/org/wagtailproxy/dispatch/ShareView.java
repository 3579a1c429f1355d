package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Map;
import org.wagtailproxy.identity.DataCentre;

/**
 * Represents what an instance knows of the demand of all instances for one service.
 *
 * @param localDemands tasks queued or in flight on each live instance of the own data centre, in
 *     the order of their incarnations, not empty
 * @param ownIndex the index of this instance in that list
 * @param lendableSlots the number of slots that this instance may borrow in each other data centre
 */
public record ShareView(
        List<Integer> localDemands, int ownIndex, Map<DataCentre, Integer> lendableSlots) {

    /** Copies the components. */
    public ShareView {
        localDemands = List.copyOf(localDemands);
        lendableSlots = Map.copyOf(lendableSlots);
    }

    /**
     * Creates a view.
     *
     * @param localDemands the demands, not empty
     * @param ownIndex the index of this instance
     * @param lendableSlots the slots to borrow in other data centres, not null
     * @return the view, never null
     */
    public static ShareView of(
            List<Integer> localDemands, int ownIndex, Map<DataCentre, Integer> lendableSlots) {
        return new ShareView(localDemands, ownIndex, lendableSlots);
    }

    /**
     * Creates the view of an instance that knows no other instance.
     *
     * @return the view, never null
     */
    public static ShareView alone() {
        return of(List.of(0), 0, Map.of());
    }
}
