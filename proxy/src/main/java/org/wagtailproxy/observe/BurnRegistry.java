package org.wagtailproxy.observe;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.wagtailproxy.burn.BurnHistory;

/**
 * Stores the burn history of each service and each team.
 *
 * <p>Safe for use by several threads.
 */
public final class BurnRegistry {

    private final Map<String, BurnHistory> mHistories = new ConcurrentSkipListMap<>();

    private BurnRegistry() {}

    /**
     * Creates an empty registry.
     *
     * @return the registry, never null
     */
    public static BurnRegistry of() {
        return new BurnRegistry();
    }

    /**
     * Records whether one job met its objective.
     *
     * @param subject the service or team as {@code kind/name}, not null
     * @param met whether the job met its objective
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void record(String subject, boolean met, long nowNanos) {
        Objects.requireNonNull(subject, "subject");
        mHistories.computeIfAbsent(subject, key -> BurnHistory.of()).record(met, nowNanos);
    }

    /**
     * Returns the burn histories of all subjects.
     *
     * @return a copy of the map, keyed by subject, never null
     */
    public Map<String, BurnHistory> histories() {
        return new TreeMap<>(mHistories);
    }
}
