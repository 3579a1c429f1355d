package org.wagtailproxy.store;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.wagtailproxy.serve.EventLoop;

/**
 * Keeps a copy of the items under a prefix: reads them once, then watches. Confined to the event
 * loop.
 *
 * <p>After a long pause everything is read again, which costs less than all changes since. A watch
 * that ends without news starts again where it left off; after lost history everything is read
 * again. A watch that stays silent past its wait is a failure of the call, so a connection that
 * went silent costs one wait.
 */
public final class StoreMirror {

    /** Hears of changes. */
    public interface Listener {

        /**
         * The copy has changed, or was read for the first time.
         *
         * @param mirror the mirror, not null
         */
        void onChanged(StoreMirror mirror);

        /**
         * The store was reached or lost.
         *
         * @param mirror the mirror, not null
         * @param reachable true if it answers
         */
        void onReachabilityChanged(StoreMirror mirror, boolean reachable);
    }

    /** Pause after a failure, so that an outage costs few calls. */
    private static final long MIN_RETRY_DELAY_MILLIS = 250;

    /** Longest pause after repeated failures; the configuration has to be in force in 2 s. */
    private static final long MAX_RETRY_DELAY_MILLIS = 1000;

    /**
     * Age of the copy from which it is read anew instead of being brought up to date: its items
     * have changed more than once by then, and a watch would tell each change.
     */
    private static final long MAX_WATCH_AGE_MILLIS = 3000;

    /** Wait of a watch while the store does not answer. */
    private static final long PROBE_WAIT_MILLIS = 1;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final String mPrefix;
    private final long mWaitMillis;
    private final LongSupplier mBatchDelayMillis;
    private final Listener mListener;
    private Map<String, StoreItem> mItems = new TreeMap<>();
    private List<StoreItem> mReadItems = new ArrayList<>();
    private long mRevision;
    private long mAnsweredNanos;
    private boolean mReachable;
    private int mFailures;
    private int mPauseNumber;
    private boolean mPausing;

    private StoreMirror(
            EventLoop loop,
            VersionedStore store,
            String prefix,
            long waitMillis,
            LongSupplier batchDelayMillis,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mPrefix = prefix;
        mWaitMillis = waitMillis;
        mBatchDelayMillis = batchDelayMillis;
        mListener = listener;
        mAnsweredNanos = loop.nowNanos();
    }

    /**
     * Starts a mirror.
     *
     * @param loop where it runs, not null
     * @param store the store, not null
     * @param prefix what the keys begin with, not null
     * @param waitMillis how long a watch waits, in milliseconds
     * @param batchDelayMillis gives the pause between watches, in which changes gather into one
     *     answer, in milliseconds; not null
     * @param listener who hears of changes, not null
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
     * Returns the items.
     *
     * @return the copy, in the order of the keys, never null
     */
    public Collection<StoreItem> items() {
        return mItems.values();
    }

    /**
     * Tells how old the copy is.
     *
     * @return the time since the store last answered, in milliseconds; since the start before that
     */
    public long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - mAnsweredNanos);
    }

    private void readFrom(String after) {
        mStore.read(mPrefix, after, page -> page.peek(this::onPage).peekLeft(this::onReadFailed));
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
        mListener.onChanged(this);
        pauseThenWatch();
    }

    private void onReadFailed(StoreFailure failure) {
        updateReachable(false);
        mReadItems = new ArrayList<>();
        mLoop.later(nextRetryDelayMillis(), () -> readFrom(""));
    }

    /** Ends the pause before the next watch, because changes are wanted now. */
    public void refreshNow() {
        if (mPausing) {
            mPauseNumber++;
            mPausing = false;
            refresh();
        }
    }

    private void pauseThenWatch() {
        mPausing = true;
        int pauseNumber = ++mPauseNumber;
        mLoop.later(
                mBatchDelayMillis.getAsLong(),
                () -> {
                    if (pauseNumber == mPauseNumber && mPausing) {
                        mPausing = false;
                        refresh();
                    }
                });
    }

    private void refresh() {
        if (ageMillis() < MAX_WATCH_AGE_MILLIS) {
            watch();
        } else {
            readFrom("");
        }
    }

    private void watch() {
        // A call that is lost in an outage must not hide the store's return for a whole wait.
        long waitMillis = mReachable ? mWaitMillis : PROBE_WAIT_MILLIS;
        mStore.watch(mPrefix, mRevision, waitMillis, this::onWatchResult);
    }

    private void onWatchResult(Either<StoreFailure, StorePage> result) {
        if (result.isLeft()) {
            if (result.getLeft() == StoreFailure.HISTORY_GONE) {
                readFrom("");
                return;
            }
            updateReachable(false);
            mLoop.later(nextRetryDelayMillis(), this::watch);
            return;
        }
        updateReachable(true);
        StorePage page = result.get();
        mRevision = Math.max(mRevision, page.revision());
        page.items().forEach(item -> mItems.put(item.key(), item));
        page.removedKeys().forEach(mItems::remove);
        if (!page.items().isEmpty() || !page.removedKeys().isEmpty()) {
            mListener.onChanged(this);
        }
        pauseThenWatch();
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
