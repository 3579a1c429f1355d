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
 * Stores the ends (final results) of jobs of other home instances, as a replica.
 *
 * <p>Once an incarnation is fenced, further records from it are refused, so that answers given
 * about its jobs after the fence stay correct. Safe for use by several threads.
 */
public final class EndRecords {

    private final Map<Incarnation, Map<JobName, StoredRecord>> mByIssuer = new HashMap<>();
    private final Set<Incarnation> mFenced = new HashSet<>();
    private long mBytes;
    private boolean mOpen;

    private EndRecords() {}

    /**
     * Creates an empty store.
     *
     * @return the store, never null
     */
    public static EndRecords of() {
        return new EndRecords();
    }

    /**
     * Starts to accept records from neighbours. Called once this instance knows the seals that its
     * neighbours know; earlier, it could store records of a home that is already sealed.
     */
    public synchronized void open() {
        mOpen = true;
    }

    /**
     * Checks whether records from neighbours are accepted.
     *
     * @return true if they are accepted
     */
    public synchronized boolean isOpen() {
        return mOpen;
    }

    /**
     * Stores a record unless its sender is fenced. A record that is already stored under the name
     * stays.
     *
     * @param sender the incarnation that sends the record: the one with authority over the job, or
     *     a neighbour that repairs replicas, not null
     * @param issuer the incarnation that issued the session of the job's name, not null
     * @param name the job, not null
     * @param record its end, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if the record is stored, false if the sender is fenced
     */
    public synchronized boolean store(
            Incarnation sender, Incarnation issuer, JobName name, EndRecord record, long nowNanos) {
        if (mFenced.contains(sender)) {
            return false;
        }
        Map<JobName, StoredRecord> records =
                mByIssuer.computeIfAbsent(issuer, key -> new HashMap<>());
        if (records.putIfAbsent(name, new StoredRecord(record, nowNanos)) == null) {
            mBytes += documentBytes(record);
        }
        return true;
    }

    /**
     * Refuses every further record from an incarnation.
     *
     * @param sender the incarnation, not null
     */
    public synchronized void fence(Incarnation sender) {
        mFenced.add(sender);
    }

    /**
     * Finds the record of a job.
     *
     * @param issuer the incarnation that issued the session of the job's name, not null
     * @param name the job, not null
     * @return the record, none if it is not stored here
     */
    public synchronized Option<EndRecord> find(Incarnation issuer, JobName name) {
        return Option.of(mByIssuer.getOrDefault(issuer, Map.of()).get(name))
                .map(stored -> stored.mRecord);
    }

    /**
     * Returns every record of one incarnation.
     *
     * @param issuer the incarnation that issued the sessions, not null
     * @return a copy by job, never null
     */
    public synchronized Map<JobName, EndRecord> recordsOf(Incarnation issuer) {
        Map<JobName, EndRecord> all = new HashMap<>();
        mByIssuer
                .getOrDefault(issuer, Map.of())
                .forEach((name, stored) -> all.put(name, stored.mRecord));
        return all;
    }

    /**
     * Returns every record.
     *
     * @return a copy, never null
     */
    public synchronized List<EndRecord> allRecords() {
        return mByIssuer.values().stream()
                .flatMap(records -> records.values().stream())
                .map(stored -> stored.mRecord)
                .toList();
    }

    /**
     * Removes the records that were stored before a point in time.
     *
     * @param nanos the monotonic time in nanoseconds
     */
    public synchronized void removeBefore(long nanos) {
        for (Map<JobName, StoredRecord> records : mByIssuer.values()) {
            records.values().removeIf(stored -> removeIfOlder(stored, nanos));
        }
        mByIssuer.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the size of all stored documents and traces.
     *
     * @return the size in bytes
     */
    public synchronized long bytes() {
        return mBytes;
    }

    /**
     * Creates the record of an end.
     *
     * @param name the job, not null
     * @param digest the digest of its content, not null
     * @param complete whether the job is complete
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

    /** Stores a record and the time at which it arrived. */
    private static final class StoredRecord {
        private final EndRecord mRecord;
        private final long mStoredNanos;

        private StoredRecord(EndRecord record, long storedNanos) {
            mRecord = record;
            mStoredNanos = storedNanos;
        }
    }
}
