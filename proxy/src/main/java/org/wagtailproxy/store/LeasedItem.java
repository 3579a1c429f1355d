package org.wagtailproxy.store;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.function.LongConsumer;
import org.wagtailproxy.serve.EventLoop;

/**
 * Keeps an item in the store for as long as this process lives, under a lease that is renewed.
 * Confined to the event loop.
 *
 * <p>If the lease ends, or the item is seen to be missing, it is written again under a new one.
 */
public final class LeasedItem {

    /** Time without renewal after which the store removes the item; spans several renewals. */
    private static final long TTL_MILLIS = 5000;

    private static final long RENEWAL_INTERVAL_MILLIS = 1600;

    /** Pause after a failure. */
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
     * Writes an item and keeps it.
     *
     * @param loop where it runs, not null
     * @param store the store, not null
     * @param key the key, not null
     * @param value the value, not null
     * @param written takes the store's revision after each write, not null
     * @return the item, never null
     */
    public static LeasedItem start(
            EventLoop loop, VersionedStore store, String key, byte[] value, LongConsumer written) {
        Objects.requireNonNull(written, "written");
        LeasedItem item = new LeasedItem(loop, store, key, value.clone(), written);
        item.grantLeaseAndWrite();
        item.renewPeriodically();
        return item;
    }

    /** Writes the item again, because it was seen to be missing. */
    public void onMissing() {
        if (!mWriting && !mRemoved) {
            grantLeaseAndWrite();
        }
    }

    /** Removes the item for good. */
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
            mLoop.later(RETRY_DELAY_MILLIS, this::grantLeaseAndWrite);
            return;
        }
        mLease = lease.get();
        mStore.write(mKey, mValue, mLease, this::written);
    }

    private void written(Either<StoreFailure, Long> revision) {
        if (revision.isLeft()) {
            mLoop.later(RETRY_DELAY_MILLIS, this::grantLeaseAndWrite);
            return;
        }
        mWriting = false;
        mOnWritten.accept(revision.get());
    }

    private void renewPeriodically() {
        mLoop.later(RENEWAL_INTERVAL_MILLIS, this::renewPeriodically);
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
