package org.wagtailproxy.store;

import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * A key-value store with revisions, leases and watches. Calls return at once; answers come to the
 * consumer on the event loop.
 */
public interface VersionedStore {

    /**
     * Reads a page of the items whose keys begin with a prefix, as they are now.
     *
     * @param prefix the prefix, not null
     * @param after the key after which the page begins, empty for the first page
     * @param callback takes the page or the failure, not null
     */
    void read(String prefix, String after, Consumer<Either<StoreFailure, StorePage>> callback);

    /**
     * Waits for changes of the items whose keys begin with a prefix.
     *
     * @param prefix the prefix, not null
     * @param afterRevision changes later than this revision count
     * @param waitMillis how long the store may wait, in milliseconds
     * @param callback takes the changes or the failure, not null
     */
    void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<Either<StoreFailure, StorePage>> callback);

    /**
     * Writes an item, whatever it holds now.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param lease the lease that it depends on, 0 for none
     * @param callback takes the revision of the write or the failure, not null
     */
    void write(String key, byte[] value, long lease, Consumer<Either<StoreFailure, Long>> callback);

    /**
     * Writes several items together if a guard has not changed.
     *
     * @param transaction what to write, not null
     * @param callback takes the revision of the writes or the failure, not null
     */
    void commit(StoreTransaction transaction, Consumer<Either<StoreFailure, Long>> callback);

    /**
     * Removes an item.
     *
     * @param key the key, not null
     * @param callback takes the revision or the failure, not null
     */
    void remove(String key, Consumer<Either<StoreFailure, Long>> callback);

    /**
     * Begins a lease.
     *
     * @param ttlMillis how long it lasts without renewal, in milliseconds
     * @param callback takes the lease or the failure, not null
     */
    void grantLease(long ttlMillis, Consumer<Either<StoreFailure, Long>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param callback takes its remaining time in milliseconds or the failure, not null
     */
    void renewLease(long lease, Consumer<Either<StoreFailure, Long>> callback);
}
