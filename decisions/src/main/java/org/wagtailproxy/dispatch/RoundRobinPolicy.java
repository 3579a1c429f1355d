package org.wagtailproxy.dispatch;

import java.util.List;
import java.util.Optional;

/** Selects the backend servers in turn, in the order of their addresses. */
final class RoundRobinPolicy implements DispatchPolicy {

    private BackendServerId mLast;

    @Override
    public Optional<BackendServerState> choose(
            List<BackendServerState> free, List<BackendServerState> all, int queued) {
        BackendServerState chosen = free.get(0);
        for (BackendServerState each : free) {
            if (mLast != null && each.id().compareTo(mLast) > 0) {
                chosen = each;
                break;
            }
        }
        mLast = chosen.id();
        return Optional.of(chosen);
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
