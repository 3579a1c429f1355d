package org.wagtailproxy.platform;

import io.vavr.control.Either;
import org.wagtailproxy.failure.Failure;

/**
 * Represents the key-value service of the platform.
 *
 * <p>Each method blocks and makes one call, which is counted in the metrics.
 */
public interface KeyValueStore {

    /**
     * Reads the keys below a prefix that were changed after a revision.
     *
     * @param prefix the prefix, not null
     * @param afterRevision the revision after which changes are read, 0 for all entries
     * @return the entries, or a failure if the store did not answer
     */
    Either<Failure, StoreRange> range(String prefix, long afterRevision);

    /**
     * Reads one key.
     *
     * @param key the key, not null
     * @return a range of at most one entry, or a failure if the store did not answer
     */
    Either<Failure, StoreRange> read(String key);

    /**
     * Writes a key on the condition that its last change was at a given revision.
     *
     * @param key the key, not null
     * @param expectedRevision the revision of its last change, 0 if it must not exist
     * @param value the value, not null
     * @param leaseId the lease with which the key expires, 0 for none
     * @return the result of the write, or a failure if its outcome is not known
     */
    Either<Failure, StoreWrite> compareAndPut(
            String key, long expectedRevision, String value, long leaseId);

    /**
     * Grants a lease.
     *
     * @param seconds the duration of the lease in seconds, 1 or more
     * @return the id of the lease, or a failure if the store did not answer
     */
    Either<Failure, Long> grantLease(long seconds);
}
