package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Optional;

/** Takes the backend servers in turn. */
final class RoundRobinChoice implements RunnerChoice {

    private RunnerId mLast;

    @Override
    public Optional<RunnerState> choose(List<RunnerState> free, List<RunnerState> all, int queued) {
        RunnerState chosen = free.get(0);
        for (RunnerState each : free) {
            if (mLast != null && each.id().compareTo(mLast) > 0) {
                chosen = each;
                break;
            }
        }
        mLast = chosen.id();
        return Optional.of(chosen);
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
