package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Remembers instances that are not, or no longer, peers of this instance but may be alive: those
 * whose registration ran out while they were unreachable, and leaders that peers follow. Not
 * thread-safe; confined to one thread.
 */
final class UntrackedInstances {

    /**
     * Time for which such an instance counts as one that may lead. A home that follows it submits
     * its jobs elsewhere, and these are settled, within less.
     */
    private static final long MAY_LEAD_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Number of former peers that are remembered; the instances of several large pools. */
    private static final int MAX_REMOVED = 1000;

    private static final long UNKNOWN_SENIORITY = -1;

    private final Map<InstanceName, Long> mLastNoticedNanos = new TreeMap<>();
    private final Map<InstanceName, Long> mSeniorityWhenLost = new TreeMap<>();

    /** Former peers, oldest removal first. */
    private final Map<InstanceName, InstanceRecord> mRemoved =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<InstanceName, InstanceRecord> eldest) {
                    return size() > MAX_REMOVED;
                }
            };

    /** Records that an unreachable peer is no longer registered. */
    void onRemoved(InstanceRecord record, long probedNanos, long seniorityWhenLost) {
        mLastNoticedNanos.put(record.name(), probedNanos);
        mSeniorityWhenLost.put(record.name(), seniorityWhenLost);
        mRemoved.remove(record.name());
        mRemoved.put(record.name(), record);
    }

    /** Forgets and returns the record of a former peer, none if it is not known. */
    Option<InstanceRecord> takeRemoved(InstanceName name) {
        return Option.of(mRemoved.remove(name));
    }

    /** Records that a peer follows an instance that is no peer. */
    void onFollowed(InstanceName name, long probedNanos) {
        mLastNoticedNanos.put(name, probedNanos);
    }

    /** Returns the seniority of a removed instance when it was lost, -1 if it is not known. */
    long seniorityWhenLost(InstanceName name) {
        return mSeniorityWhenLost.getOrDefault(name, UNKNOWN_SENIORITY);
    }

    /** Checks whether an instance that is none of the given peers may lead. */
    boolean mayLead(Set<InstanceName> peers, long nowNanos) {
        mLastNoticedNanos.values().removeIf(last -> nowNanos - last > MAY_LEAD_NANOS);
        return !peers.containsAll(mLastNoticedNanos.keySet());
    }
}
