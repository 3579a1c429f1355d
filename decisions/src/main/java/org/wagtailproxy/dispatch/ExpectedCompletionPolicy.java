package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Optional;
import org.wagtailproxy.identity.DataCentre;

/**
 * Selects the backend server on which the task is expected to complete first, and leaves the task
 * queued when a faster server is expected to have a free slot soon enough.
 */
final class ExpectedCompletionPolicy implements DispatchPolicy {

    private final DataCentre mDataCentre;
    private final double mRemotePenalty;
    private final double mPatience;

    /**
     * Creates the policy.
     *
     * @param dataCentre the data centre of this instance
     * @param remotePenalty slowdown added for a backend server in another data centre
     * @param patience fraction of the expected cost of starting now up to which the expected cost
     *     of waiting is accepted, from 0 (never wait) to 1
     */
    ExpectedCompletionPolicy(DataCentre dataCentre, double remotePenalty, double patience) {
        mDataCentre = dataCentre;
        mRemotePenalty = remotePenalty;
        mPatience = patience;
    }

    @Override
    public Optional<BackendServerState> choose(
            List<BackendServerState> free, List<BackendServerState> all, int queued) {
        BackendServerState fastest = free.get(0);
        for (BackendServerState each : free) {
            if (cost(each) < cost(fastest)) {
                fastest = each;
            }
        }
        double costNow = cost(fastest);
        return isWaitingBetter(costNow, all, queued) ? Optional.empty() : Optional.of(fastest);
    }

    @Override
    public boolean ordersByResponseRatio() {
        return true;
    }

    @Override
    public boolean usesShares() {
        return true;
    }

    private double cost(BackendServerState server) {
        double penalty = server.listing().dataCentre().equals(mDataCentre) ? 0 : mRemotePenalty;
        return server.slowdown() + penalty;
    }

    /**
     * Checks whether waiting for a slot on the faster backend servers is expected to cost less than
     * starting now.
     */
    private boolean isWaitingBetter(double costNow, List<BackendServerState> all, int queued) {
        double completionRate = 0;
        double weightedCost = 0;
        for (BackendServerState each : all) {
            double cost = cost(each);
            if (cost < costNow && each.share() > 0) {
                double completions = each.share() / each.slowdown();
                completionRate += completions;
                weightedCost += completions * cost;
            }
        }
        if (completionRate == 0) {
            return false;
        }
        double costOfWaiting = queued / completionRate + weightedCost / completionRate;
        return costOfWaiting < costNow * mPatience;
    }
}
