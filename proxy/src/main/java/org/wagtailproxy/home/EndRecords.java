package org.wagtailproxy.home;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.job.ContentDigest;
import org.wagtailproxy.wire.EndRecord;

/**
 * Ends that this instance keeps as a replica for other homes.
 *
 * <p>Once an incarnation is fenced, no further record of it is taken: what was answered about its
 * jobs after the fence stays true. Safe for use by several threads.
 */
public final class EndRecords {

    private final Map<Incarnation, Map<JobName, StoredRecord>> mByHome = new HashMap<>();
    private final Set<Incarnation> mFenced = new HashSet<>();
    private long mBytes;
    private boolean mOpen;

    private EndRecords() {}

    /**
     * Creates an empty keeper.
     *
     * @return the keeper, never null
     */
    public static EndRecords of() {
        return new EndRecords();
    }

    /**
     * Allows neighbours' records, once this instance knows the seals that its neighbours know;
     * before, it might keep records of a home that is sealed.
     */
    public synchronized void open() {
        mOpen = true;
    }

    /**
     * Tests whether neighbours' records may be kept.
     *
     * @return true if they may
     */
    public synchronized boolean isOpen() {
        return mOpen;
    }

    /**
     * Keeps a record unless its sender is fenced.
     *
     * @param sender the incarnation with authority over the job, not null
     * @param home the incarnation that coined the job's name, not null
     * @param name the job, not null
     * @param record its end, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if it is kept
     */
    public synchronized boolean store(
            Incarnation sender, Incarnation home, JobName name, EndRecord record, long nowNanos) {
        if (mFenced.contains(sender)) {
            return false;
        }
        Map<JobName, StoredRecord> records = mByHome.computeIfAbsent(home, key -> new HashMap<>());
        if (records.putIfAbsent(name, new StoredRecord(record, nowNanos)) == null) {
            mBytes += documentBytes(record);
        }
        return true;
    }

    /**
     * Refuses every further record that an incarnation sends.
     *
     * @param sender the incarnation, not null
     */
    public synchronized void fence(Incarnation sender) {
        mFenced.add(sender);
    }

    /**
     * Finds a record.
     *
     * @param home the incarnation of the home, not null
     * @param name the job, not null
     * @return the record, none if it is not kept here
     */
    public synchronized Option<EndRecord> find(Incarnation home, JobName name) {
        return Option.of(mByHome.getOrDefault(home, Map.of()).get(name))
                .map(stored -> stored.mRecord);
    }

    /**
     * Returns every record of a home.
     *
     * @param home the incarnation, not null
     * @return a copy by job, never null
     */
    public synchronized Map<JobName, EndRecord> recordsOf(Incarnation home) {
        Map<JobName, EndRecord> all = new HashMap<>();
        mByHome.getOrDefault(home, Map.of())
                .forEach((name, stored) -> all.put(name, stored.mRecord));
        return all;
    }

    /**
     * Returns every record.
     *
     * @return a copy, never null
     */
    public synchronized List<EndRecord> allRecords() {
        return mByHome.values().stream()
                .flatMap(records -> records.values().stream())
                .map(stored -> stored.mRecord)
                .toList();
    }

    /**
     * Forgets the records that were stored before a moment.
     *
     * @param nanos the monotonic time in nanoseconds
     */
    public synchronized void removeBefore(long nanos) {
        for (Map<JobName, StoredRecord> records : mByHome.values()) {
            records.values().removeIf(stored -> removeIfOlder(stored, nanos));
        }
        mByHome.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the memory that documents use.
     *
     * @return bytes
     */
    public synchronized long bytes() {
        return mBytes;
    }

    /**
     * Writes an end as a record.
     *
     * @param name the job, not null
     * @param digest the digest of its content, not null
     * @param complete whether it is complete
     * @param document its document, not null
     * @param trace its trace, not null
     * @return the record, never null
     */
    public static EndRecord record(
            JobName name, ContentDigest digest, boolean complete, byte[] document, byte[] trace) {
        return EndRecord.newBuilder()
                .setJobName(name.toString())
                .setContentDigest(ByteString.copyFromUtf8(digest.hex()))
                .setComplete(complete)
                .setDocument(ByteString.copyFrom(document))
                .setTrace(ByteString.copyFrom(trace))
                .build();
    }

    static long documentBytes(EndRecord record) {
        return record.getDocument().size() + record.getTrace().size();
    }

    private boolean removeIfOlder(StoredRecord stored, long nanos) {
        boolean old = stored.mStoredNanos - nanos < 0;
        if (old) {
            mBytes -= documentBytes(stored.mRecord);
        }
        return old;
    }

    /** A record and when it came. */
    private static final class StoredRecord {
        private final EndRecord mRecord;
        private final long mStoredNanos;

        private StoredRecord(EndRecord record, long storedNanos) {
            mRecord = record;
            mStoredNanos = storedNanos;
        }
    }
}
