package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Optional;
import org.wagtailproxy.identity.DataCentre;

/**
 * Takes the backend server on which the task is expected to complete first, and lets it wait when a
 * faster one is expected to come free in time.
 */
final class ExpectedCompletionPolicy implements DispatchPolicy {

    private final DataCentre mDataCentre;
    private final double mRemotePenalty;
    private final double mPatience;

    /**
     * Creates the choice.
     *
     * @param home the data centre of this instance
     * @param remotePenalty slowness added for a backend server in another data centre
     * @param patience share of the expected gain that is waited for, from 0 (never wait) to 1
     */
    ExpectedCompletionPolicy(DataCentre home, double remotePenalty, double patience) {
        mDataCentre = home;
        mRemotePenalty = remotePenalty;
        mPatience = patience;
    }

    @Override
    public Optional<BackendServerState> choose(
            List<BackendServerState> free, List<BackendServerState> all, int queued) {
        BackendServerState best = free.get(0);
        for (BackendServerState each : free) {
            if (cost(each) < cost(best)) {
                best = each;
            }
        }
        double now = cost(best);
        return isWaitingBetter(now, all, queued) ? Optional.empty() : Optional.of(best);
    }

    @Override
    public boolean ordersByResponseRatio() {
        return true;
    }

    @Override
    public boolean usesShares() {
        return true;
    }

    private double cost(BackendServerState runner) {
        double penalty = runner.listing().dataCentre().equals(mDataCentre) ? 0 : mRemotePenalty;
        return runner.slowdown() + penalty;
    }

    /** Compares running now with waiting for a place on the backend servers that are faster. */
    private boolean isWaitingBetter(double now, List<BackendServerState> all, int queued) {
        double rate = 0;
        double weighted = 0;
        for (BackendServerState each : all) {
            double cost = cost(each);
            if (cost < now && each.share() > 0) {
                double completions = each.share() / each.slowdown();
                rate += completions;
                weighted += completions * cost;
            }
        }
        if (rate == 0) {
            return false;
        }
        double waiting = queued / rate + weighted / rate;
        return waiting < now * mPatience;
    }
}
