package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Draws two backend servers and takes the one with less local work in flight. */
final class TwoRandomChoice implements RunnerChoice {

    private final RandomGenerator mRandom;

    TwoRandomChoice(RandomGenerator random) {
        mRandom = random;
    }

    @Override
    public Optional<RunnerState> choose(List<RunnerState> free, List<RunnerState> all, int queued) {
        RunnerState first = free.get(mRandom.nextInt(free.size()));
        RunnerState second = free.get(mRandom.nextInt(free.size()));
        return Optional.of(second.inFlight() < first.inFlight() ? second : first);
    }

    @Override
    public boolean ordersByRatio() {
        return false;
    }

    @Override
    public boolean usesShares() {
        return false;
    }
}
