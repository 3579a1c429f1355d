package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks two backend servers at random and selects the one with fewer tasks in flight of this
 * instance.
 */
final class TwoRandomPolicy implements DispatchPolicy {

    private final RandomGenerator mRandom;

    TwoRandomPolicy(RandomGenerator random) {
        mRandom = random;
    }

    @Override
    public Optional<BackendServerState> choose(
            List<BackendServerState> free, List<BackendServerState> all, int queued) {
        BackendServerState first = free.get(mRandom.nextInt(free.size()));
        BackendServerState second = free.get(mRandom.nextInt(free.size()));
        return Optional.of(second.inFlight() < first.inFlight() ? second : first);
    }

    @Override
    public boolean ordersByResponseRatio() {
        return false;
    }

    @Override
    public boolean usesShares() {
        return false;
    }
}
