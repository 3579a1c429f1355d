package org.wagtailproxy.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.leadership.InstanceName;

/**
 * Determines the electors of a coordinator: the instances that are registered, and those that were
 * until lately. An instance that is restarted stays an elector, so that restarts in turn do not
 * turn a minority of the instances into a majority of the electors. Not thread-safe.
 */
public final class ElectorList {

    /** Time in which an instance that has stopped or was lost is expected to be back. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<InstanceName, Long> mListedNanos = new HashMap<>();

    /** Creates an empty list. */
    public ElectorList() {}

    /**
     * Updates the registered instances.
     *
     * @param registered the instances that are registered now, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the electors, never null
     */
    public Set<InstanceName> update(Set<InstanceName> registered, long nowNanos) {
        registered.forEach(name -> mListedNanos.put(name, nowNanos));
        mListedNanos.values().removeIf(nanos -> nowNanos - nanos > RETENTION_NANOS);
        return new TreeSet<>(mListedNanos.keySet());
    }
}
