package org.wagtailproxy.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.leadership.InstanceName;

/**
 * Records which electors support a coordinator, and when each of them was last asked.
 *
 * <p>Electors are the instances that are recorded with the guard of the stored jobs. More than half
 * of them can support one coordinator only if less than half support another. Not thread-safe.
 */
final class ElectorSupport {

    /** Time for which the support of an elector, and an answer of the store, is relied on. */
    static final long VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** A time at which no elector was asked. */
    static final long NEVER_NANOS = Long.MIN_VALUE / 2;

    private final Map<InstanceName, Long> mAskedNanos = new HashMap<>();

    /** Records that an elector supports the coordinator, and when it was asked. */
    void record(InstanceName elector, long askedNanos) {
        mAskedNanos.merge(elector, askedNanos, Math::max);
    }

    void clear() {
        mAskedNanos.clear();
    }

    /**
     * Returns until when more than half of each set of electors support the coordinator, {@link
     * #NEVER_NANOS} if they do not.
     */
    long majorityUntilNanos(Collection<Set<InstanceName>> electorSets) {
        if (electorSets.isEmpty()) {
            return NEVER_NANOS;
        }
        long untilNanos = Long.MAX_VALUE;
        for (Set<InstanceName> electors : electorSets) {
            untilNanos = Math.min(untilNanos, majorityUntilNanos(electors));
        }
        return untilNanos;
    }

    private long majorityUntilNanos(Set<InstanceName> electors) {
        List<Long> askedNanos = new ArrayList<>();
        for (InstanceName elector : electors) {
            Long nanos = mAskedNanos.get(elector);
            if (nanos != null) {
                askedNanos.add(nanos);
            }
        }
        int majority = electors.size() / 2 + 1;
        if (askedNanos.size() < majority) {
            return NEVER_NANOS;
        }
        askedNanos.sort(Comparator.reverseOrder());
        return askedNanos.get(majority - 1) + VALID_NANOS;
    }

    /**
     * Checks whether at least half of each set of electors support the coordinator, so that no
     * other one has the support of more than half.
     */
    boolean isBlocking(Collection<Set<InstanceName>> electorSets, long nowNanos) {
        for (Set<InstanceName> electors : electorSets) {
            long supporting =
                    electors.stream()
                            .map(elector -> mAskedNanos.getOrDefault(elector, NEVER_NANOS))
                            .filter(nanos -> nowNanos - nanos <= VALID_NANOS)
                            .count();
            if (2 * supporting < electors.size()) {
                return false;
            }
        }
        return !electorSets.isEmpty();
    }
}
