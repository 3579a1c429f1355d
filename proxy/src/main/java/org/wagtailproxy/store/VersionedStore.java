package org.wagtailproxy.store;

import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * Represents a key-value store with revisions, leases and watches. Every call is asynchronous: it
 * returns at once, and its callback runs on the event loop with the result or the failure.
 */
public interface VersionedStore {

    /**
     * Returns the same store for calls that do not use connections which are open already, as these
     * may have gone silent.
     *
     * @return the store, which opens a connection for each call; never null
     */
    default VersionedStore onNewConnections() {
        return this;
    }

    /**
     * Reads a page of the current items whose keys begin with a prefix.
     *
     * @param prefix the prefix, not null
     * @param after the last key of the previous page, empty for the first page; not null
     * @param callback receives the page or the failure, not null
     */
    void read(String prefix, String after, Consumer<Either<StoreFailure, StorePage>> callback);

    /**
     * Waits for changes of the items whose keys begin with a prefix.
     *
     * @param prefix the prefix, not null
     * @param afterRevision the revision after which changes are returned
     * @param waitMillis the longest time that the store may wait for a change, in milliseconds
     * @param callback receives the changes or the failure, not null
     */
    void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<Either<StoreFailure, StorePage>> callback);

    /**
     * Writes an item unconditionally.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param lease the id of the lease with which the item expires, 0 for none
     * @param callback receives the revision of the write or the failure, not null
     */
    void write(String key, byte[] value, long lease, Consumer<Either<StoreFailure, Long>> callback);

    /**
     * Writes several items atomically if the guard has not changed. The guard is the item whose
     * revision conditions the writes.
     *
     * @param transaction the writes and their condition, not null
     * @param callback receives the revision of the writes or the failure, not null
     */
    void commit(StoreTransaction transaction, Consumer<Either<StoreFailure, Long>> callback);

    /**
     * Removes an item.
     *
     * @param key the key, not null
     * @param callback receives the revision of the removal or the failure, not null
     */
    void remove(String key, Consumer<Either<StoreFailure, Long>> callback);

    /**
     * Creates a lease.
     *
     * @param ttlMillis the time after which the lease ends without renewal, in milliseconds
     * @param callback receives the id of the lease or the failure, not null
     */
    void grantLease(long ttlMillis, Consumer<Either<StoreFailure, Long>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the id of the lease
     * @param callback receives the remaining time in milliseconds or the failure, not null
     */
    void renewLease(long lease, Consumer<Either<StoreFailure, Long>> callback);
}
