package org.wagtailproxy.store;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.wagtailproxy.serve.EventLoop;

/**
 * Maintains a local copy of the store's items under a key prefix. Reads all items once, then
 * applies the changes that watches return. Confined to the event loop.
 *
 * <p>A watch that ends without changes is repeated from the same revision. All items are read again
 * after a long pause, which costs less than receiving every change since, and when the store no
 * longer retains the changes. A watch without a response after its wait counts as a failed call. As
 * its connection may have gone silent, the changes are read on a new one shortly before that.
 */
public final class StoreMirror {

    /** Is notified of changes of the copy and of the store's reachability. */
    public interface Listener {

        /**
         * Called when the copy has been read completely or has changed.
         *
         * @param mirror the mirror, not null
         */
        void onChanged(StoreMirror mirror);

        /**
         * Called when the store becomes reachable or unreachable.
         *
         * @param mirror the mirror, not null
         * @param reachable whether the store responds
         */
        void onReachabilityChanged(StoreMirror mirror, boolean reachable);

        /**
         * Called before {@link #onChanged} if items may have been written and removed again without
         * having been in the copy.
         *
         * @param mirror the mirror, not null
         */
        default void onItemsMissed(StoreMirror mirror) {}

        /**
         * Called when the copy contains all items of the store, changed or not.
         *
         * @param mirror the mirror, not null
         * @param askedNanos the monotonic time at which the store was asked, in nanoseconds
         */
        default void onConfirmed(StoreMirror mirror, long askedNanos) {}
    }

    /** Delay after the first failure, so that an outage causes few calls. */
    private static final long MIN_RETRY_DELAY_MILLIS = 250;

    /** Maximum delay after repeated failures. A new configuration must be active within 2 s. */
    private static final long MAX_RETRY_DELAY_MILLIS = 1000;

    /**
     * Age of the copy from which all items are read again instead of watched: by then items have
     * changed more than once, and a watch would return each change.
     */
    private static final long MAX_WATCH_AGE_MILLIS = 3000;

    /**
     * Time between two reads of all items within which no item can be written and removed unseen.
     * Items whose writers fall silent stay for 4.5 s.
     */
    private static final long MIN_ITEM_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(4400);

    /** Wait of a watch while the store is unreachable. */
    private static final long PROBE_WAIT_MILLIS = 1;

    /**
     * Time beyond its wait after which a watch may be on a silent connection. A change that the
     * store has accepted meanwhile must be known before the machine counts as connected again.
     */
    private static final long OVERDUE_MILLIS = 300;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final VersionedStore mNewConnections;
    private final String mPrefix;
    private final long mWaitMillis;
    private final LongSupplier mBatchDelayMillis;
    private final Listener mListener;
    private Map<String, StoreItem> mItems = new TreeMap<>();
    private List<StoreItem> mReadItems = new ArrayList<>();
    private long mRevision;
    private long mAnsweredNanos;

    /** A time at which the copy contained all items. */
    private long mCompleteNanos = Long.MIN_VALUE / 2;

    private long mReadAskedNanos;
    private boolean mReachable;
    private int mFailures;
    private int mPauseNumber;
    private int mWatchNumber;
    private boolean mPausing;
    private boolean mReading;

    /** Callbacks of changes that are read after all items have been read. */
    private List<Consumer<Boolean>> mWaitingForRead = new ArrayList<>();

    private StoreMirror(
            EventLoop loop,
            VersionedStore store,
            String prefix,
            long waitMillis,
            LongSupplier batchDelayMillis,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mNewConnections = store.onNewConnections();
        mPrefix = prefix;
        mWaitMillis = waitMillis;
        mBatchDelayMillis = batchDelayMillis;
        mListener = listener;
        mAnsweredNanos = loop.nowNanos();
    }

    /**
     * Starts to read and watch the items under a prefix.
     *
     * @param loop the event loop that runs the mirror, not null
     * @param store the store, not null
     * @param prefix the key prefix, not null
     * @param waitMillis the longest wait of a watch, in milliseconds
     * @param batchDelayMillis supplies the pause between watches in milliseconds, during which
     *     changes accumulate for one response; not null
     * @param listener is notified of changes, not null
     * @return the mirror, never null
     */
    public static StoreMirror start(
            EventLoop loop,
            VersionedStore store,
            String prefix,
            long waitMillis,
            LongSupplier batchDelayMillis,
            Listener listener) {
        Objects.requireNonNull(listener, "listener");
        StoreMirror mirror =
                new StoreMirror(loop, store, prefix, waitMillis, batchDelayMillis, listener);
        mirror.readFrom("");
        return mirror;
    }

    /**
     * Returns the items of the copy.
     *
     * @return a view of the items in the order of their keys, never null
     */
    public Collection<StoreItem> items() {
        return mItems.values();
    }

    /**
     * Returns the revision of the store that the copy contains.
     *
     * @return the revision, 0 before all items have been read
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns the age of the copy.
     *
     * @return the time since the last successful response, or since the start if there was none, in
     *     milliseconds
     */
    public long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - mAnsweredNanos);
    }

    /**
     * Returns for how long changes may have gone unnoticed.
     *
     * @return the time since the store was asked for what the copy contains, in milliseconds
     */
    public long confirmedAgeMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - mCompleteNanos);
    }

    private void readFrom(String after) {
        readFrom(after, mStore);
    }

    private void readFrom(String after, VersionedStore store) {
        if (after.isEmpty()) {
            mReadAskedNanos = mLoop.nowNanos();
        }
        mReading = true;
        store.read(mPrefix, after, page -> page.peek(this::onPage).peekLeft(this::onReadFailed));
    }

    private void onPage(StorePage page) {
        updateReachable(true);
        if (mReadItems.isEmpty()) {
            mRevision = page.revision();
        }
        mReadItems.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            readFrom(page.items().get(page.items().size() - 1).key());
            return;
        }
        Map<String, StoreItem> items = new TreeMap<>();
        for (StoreItem item : mReadItems) {
            items.put(item.key(), item);
        }
        mReadItems = new ArrayList<>();
        mItems = items;
        mReading = false;
        if (mLoop.nowNanos() - mCompleteNanos > MIN_ITEM_LIFE_NANOS) {
            mListener.onItemsMissed(this);
        }
        mCompleteNanos = mReadAskedNanos;
        mListener.onChanged(this);
        mListener.onConfirmed(this, mReadAskedNanos);
        takeWaitingForRead().forEach(this::readChanges);
        pauseThenWatch();
    }

    private List<Consumer<Boolean>> takeWaitingForRead() {
        List<Consumer<Boolean>> waiting = mWaitingForRead;
        mWaitingForRead = new ArrayList<>();
        return waiting;
    }

    private void onReadFailed(StoreFailure failure) {
        updateReachable(false);
        takeWaitingForRead().forEach(callback -> callback.accept(false));
        mReadItems = new ArrayList<>();
        mLoop.schedule(nextRetryDelayMillis(), () -> readFrom(""));
    }

    /**
     * Ends the pause before the next watch, so that the copy is updated at once.
     *
     * @return false if there is no pause, so that a call is under way, which may have been sent
     *     long ago
     */
    public boolean refreshNow() {
        if (!mPausing) {
            return false;
        }
        mPauseNumber++;
        mPausing = false;
        refresh(mNewConnections);
        return true;
    }

    /**
     * Reads the changes until now, also while a watch waits for the next one. Uses a new
     * connection, as the one of the watch may have gone silent, and others with it.
     *
     * @param callback receives true once the copy contains all changes until this call, false if
     *     they cannot be read now; not null
     */
    public void readChanges(Consumer<Boolean> callback) {
        if (mReading) {
            mWaitingForRead.add(callback);
            return;
        }
        long askedNanos = mLoop.nowNanos();
        mNewConnections.watch(
                mPrefix,
                mRevision,
                PROBE_WAIT_MILLIS,
                result -> {
                    if (mReading) {
                        // The items that are being read may be older.
                        mWaitingForRead.add(callback);
                        return;
                    }
                    result.forEach(page -> applyChanges(page, askedNanos));
                    callback.accept(result.exists(page -> !page.hasMore()));
                });
    }

    private void pauseThenWatch() {
        mPausing = true;
        int pauseNumber = ++mPauseNumber;
        mLoop.schedule(
                mBatchDelayMillis.getAsLong(),
                () -> {
                    if (pauseNumber == mPauseNumber && mPausing) {
                        mPausing = false;
                        refresh(mStore);
                    }
                });
    }

    private void refresh(VersionedStore store) {
        if (ageMillis() < MAX_WATCH_AGE_MILLIS) {
            watch(store);
        } else {
            readFrom("", store);
        }
    }

    private void watch(VersionedStore store) {
        // While the store is unreachable, a lost call must not delay the detection of its
        // recovery by a full wait.
        long waitMillis = mReachable ? mWaitMillis : PROBE_WAIT_MILLIS;
        long askedNanos = mLoop.nowNanos();
        int watchNumber = ++mWatchNumber;
        store.watch(
                mPrefix,
                mRevision,
                waitMillis,
                result -> {
                    mWatchNumber++;
                    onWatchResult(result, askedNanos);
                });
        if (waitMillis > PROBE_WAIT_MILLIS) {
            mLoop.schedule(
                    waitMillis + OVERDUE_MILLIS,
                    () -> {
                        if (mWatchNumber == watchNumber) {
                            readChanges(isConfirmed -> {});
                        }
                    });
        }
    }

    private void onWatchResult(Either<StoreFailure, StorePage> result, long askedNanos) {
        if (result.isLeft()) {
            if (result.getLeft() == StoreFailure.HISTORY_GONE) {
                readFrom("");
                return;
            }
            if (result.getLeft() == StoreFailure.UNREADABLE) {
                // Changes that do not fit into one answer are read in pages.
                mLoop.schedule(MIN_RETRY_DELAY_MILLIS, () -> readFrom(""));
                return;
            }
            updateReachable(false);
            mLoop.schedule(nextRetryDelayMillis(), () -> watch(mStore));
            return;
        }
        updateReachable(true);
        applyChanges(result.get(), askedNanos);
        pauseThenWatch();
    }

    private void applyChanges(StorePage page, long askedNanos) {
        if (page.revision() < mRevision) {
            // The answer to a later call has overtaken this one and contained its changes.
            return;
        }
        mRevision = page.revision();
        if (!page.hasMore()) {
            mCompleteNanos = Math.max(mCompleteNanos, askedNanos);
        }
        if (!mItems.keySet().containsAll(page.removedKeys())) {
            mListener.onItemsMissed(this);
        }
        page.items().forEach(item -> mItems.put(item.key(), item));
        page.removedKeys().forEach(mItems::remove);
        if (!page.items().isEmpty() || !page.removedKeys().isEmpty()) {
            mListener.onChanged(this);
        }
        if (!page.hasMore()) {
            mListener.onConfirmed(this, askedNanos);
        }
    }

    private long nextRetryDelayMillis() {
        long delayMillis =
                Math.min(MIN_RETRY_DELAY_MILLIS << Math.min(mFailures, 4), MAX_RETRY_DELAY_MILLIS);
        mFailures++;
        return delayMillis;
    }

    private void updateReachable(boolean reachable) {
        if (reachable) {
            mAnsweredNanos = mLoop.nowNanos();
            mFailures = 0;
        }
        if (reachable != mReachable) {
            mReachable = reachable;
            mListener.onReachabilityChanged(this, reachable);
        }
    }
}
