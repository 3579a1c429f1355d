package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Map;
import org.wagtailproxy.identity.DataCentre;

/**
 * What an instance knows of the others' demand for one service.
 *
 * @param localDemands tasks queued or in flight on each live instance of the own data centre, in
 *     the order of their incarnations, not empty
 * @param ownIndex the position of this instance in that list
 * @param lendableSlots for each other data centre, the slots that this instance may borrow there
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
     * @param own the position of this instance
     * @param lendable slots to borrow in other data centres, not null
     * @return the view, never null
     */
    public static ShareView of(
            List<Integer> localDemands, int own, Map<DataCentre, Integer> lendable) {
        return new ShareView(localDemands, own, lendable);
    }

    /**
     * Creates the view of an instance that knows of no other.
     *
     * @return the view, never null
     */
    public static ShareView alone() {
        return of(List.of(0), 0, Map.of());
    }
}
