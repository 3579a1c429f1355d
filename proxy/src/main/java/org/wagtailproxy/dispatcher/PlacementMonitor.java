package org.wagtailproxy.dispatcher;

import java.util.concurrent.TimeUnit;
import org.wagtailproxy.scheduling.PlacementGate;

/**
 * Tracks whether the list of backend servers is recent enough to place tasks, and logs when tasks
 * have to wait for it. Confined to the event loop.
 */
final class PlacementMonitor {

    private final PlacementGate mGate;
    private final DecisionLog mLog;
    private boolean mHeld;

    /**
     * Creates a monitor of a list that has not been read.
     *
     * @param drainMillis time after which a draining server must get no task
     */
    PlacementMonitor(long drainMillis, DecisionLog log) {
        mGate = PlacementGate.of(drainMillis);
        mLog = log;
    }

    /** Records when the store was asked for what the list contains. */
    void onConfirmed(long askedNanos) {
        mGate.onConfirmed(askedNanos);
    }

    void onStoreUnavailable() {
        mGate.onStoreUnavailable();
    }

    /** Checks whether tasks have waited for the list when they were to be placed last. */
    boolean isHeld() {
        return mHeld;
    }

    boolean mayPlace(long nowNanos) {
        boolean mayPlace = mGate.mayPlace(nowNanos);
        if (mayPlace == mHeld) {
            mHeld = !mayPlace;
            mLog.placementChanged(mHeld, TimeUnit.NANOSECONDS.toMillis(mGate.ageNanos(nowNanos)));
        }
        return mayPlace;
    }

    /** Checks whether a leader is to confirm the list now; not again for a while. */
    boolean takeConfirmationDue(long nowNanos) {
        return mGate.takeConfirmationDue(nowNanos);
    }
}
