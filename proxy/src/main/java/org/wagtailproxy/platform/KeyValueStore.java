package org.wagtailproxy.platform;

import io.vavr.control.Either;
import org.wagtailproxy.failure.Failure;

/** The platform's key-value service; each method is one counted call and blocks. */
public interface KeyValueStore {

    /**
     * Reads the keys below a prefix that were changed after a revision.
     *
     * @param prefix the prefix, not null
     * @param afterRevision only later changes are read, 0 for all
     * @return the entries, or that the store did not answer
     */
    Either<Failure, StoreRange> range(String prefix, long afterRevision);

    /**
     * Reads one key.
     *
     * @param key the key, not null
     * @return no entry or one, or that the store did not answer
     */
    Either<Failure, StoreRange> read(String key);

    /**
     * Writes a key if its last change was at a given revision.
     *
     * @param key the key, not null
     * @param expectedRevision the revision of its last change, 0 if it must not exist
     * @param value the value, not null
     * @param leaseId the lease that bounds its life, 0 for none
     * @return whether it was written and what stands now, or that the outcome is not known
     */
    Either<Failure, StoreWrite> compareAndPut(
            String key, long expectedRevision, String value, long leaseId);

    /**
     * Grants a lease.
     *
     * @param seconds its life in seconds, 1 or more
     * @return its id, or that the store did not answer
     */
    Either<Failure, Long> grantLease(long seconds);
}
