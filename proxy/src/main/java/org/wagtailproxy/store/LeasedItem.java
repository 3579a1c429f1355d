package org.wagtailproxy.store;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.function.LongConsumer;
import org.wagtailproxy.serve.EventLoop;

/**
 * Maintains an item in the store for as long as this process runs. The item depends on a lease that
 * is renewed periodically. Confined to the event loop.
 *
 * <p>If the lease has ended, or {@link #onMissing()} reports that the item is missing, the item is
 * written again under a new lease.
 */
public final class LeasedItem {

    /**
     * Time without renewal after which the store removes the item. Covers several renewals, so that
     * a single lost one does not remove it.
     */
    private static final long TTL_MILLIS = 5000;

    private static final long RENEWAL_INTERVAL_MILLIS = 1600;

    /** Delay after a failed grant or write. */
    private static final long RETRY_DELAY_MILLIS = 500;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final String mKey;
    private final byte[] mValue;
    private final LongConsumer mOnWritten;
    private long mLease;
    private boolean mWriting;
    private boolean mRemoved;

    private LeasedItem(
            EventLoop loop, VersionedStore store, String key, byte[] value, LongConsumer written) {
        mLoop = loop;
        mStore = store;
        mKey = key;
        mValue = value;
        mOnWritten = written;
    }

    /**
     * Writes an item and starts to renew its lease.
     *
     * @param loop the event loop that runs the renewals, not null
     * @param store the store, not null
     * @param key the key, not null
     * @param value the value, not null
     * @param written receives the store's revision after each write, not null
     * @return the maintained item, never null
     */
    public static LeasedItem start(
            EventLoop loop, VersionedStore store, String key, byte[] value, LongConsumer written) {
        Objects.requireNonNull(written, "written");
        LeasedItem item = new LeasedItem(loop, store, key, value.clone(), written);
        item.grantLeaseAndWrite();
        item.renewPeriodically();
        return item;
    }

    /**
     * Writes the item again unless a write is in progress or the item was removed. Called when the
     * item is missing in the store.
     */
    public void onMissing() {
        if (!mWriting && !mRemoved) {
            grantLeaseAndWrite();
        }
    }

    /** Removes the item and stops renewing its lease. */
    public void remove() {
        mRemoved = true;
        mStore.remove(mKey, removed -> {});
    }

    private void grantLeaseAndWrite() {
        if (mRemoved) {
            return;
        }
        mWriting = true;
        mStore.grantLease(TTL_MILLIS, this::onLeaseGranted);
    }

    private void onLeaseGranted(Either<StoreFailure, Long> lease) {
        if (lease.isLeft()) {
            mLoop.schedule(RETRY_DELAY_MILLIS, this::grantLeaseAndWrite);
            return;
        }
        mLease = lease.get();
        if (mRemoved) {
            return;
        }
        mStore.write(mKey, mValue, mLease, this::written);
    }

    private void written(Either<StoreFailure, Long> revision) {
        if (mRemoved) {
            // The write may have overtaken the removal.
            mStore.remove(mKey, removed -> {});
            return;
        }
        if (revision.isLeft()) {
            mLoop.schedule(RETRY_DELAY_MILLIS, this::grantLeaseAndWrite);
            return;
        }
        mWriting = false;
        mOnWritten.accept(revision.get());
    }

    private void renewPeriodically() {
        mLoop.schedule(RENEWAL_INTERVAL_MILLIS, this::renewPeriodically);
        if (mWriting || mRemoved) {
            return;
        }
        mStore.renewLease(
                mLease,
                result -> {
                    if (result.isLeft()
                            && result.getLeft() == StoreFailure.LEASE_GONE
                            && !mWriting) {
                        grantLeaseAndWrite();
                    }
                });
    }
}
