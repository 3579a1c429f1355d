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
        void changed(StoreMirror mirror);

        /**
         * The store was reached or lost.
         *
         * @param mirror the mirror, not null
         * @param reached true if it answers
         */
        void reached(StoreMirror mirror, boolean reached);
    }

    /** Pause after a failure, so that an outage costs few calls. */
    private static final long RETRY_MILLIS = 250;

    /** Longest pause after repeated failures; the configuration has to be in force in 2 s. */
    private static final long LONGEST_RETRY_MILLIS = 1000;

    /**
     * Age of the copy from which it is read anew instead of being brought up to date: its items
     * have changed more than once by then, and a watch would tell each change.
     */
    private static final long OLD_MILLIS = 3000;

    /** Wait of a watch while the store does not answer. */
    private static final long PROBE_WAIT_MILLIS = 1;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final String mPrefix;
    private final long mWaitMillis;
    private final LongSupplier mGatherMillis;
    private final Listener mListener;
    private Map<String, StoreItem> mItems = new TreeMap<>();
    private List<StoreItem> mPages = new ArrayList<>();
    private long mRevision;
    private long mAnsweredNanos;
    private boolean mReached;
    private int mFailures;
    private int mPauses;
    private boolean mPausing;

    private StoreMirror(
            EventLoop loop,
            VersionedStore store,
            String prefix,
            long waitMillis,
            LongSupplier gatherMillis,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mPrefix = prefix;
        mWaitMillis = waitMillis;
        mGatherMillis = gatherMillis;
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
     * @param gatherMillis gives the pause between watches, in which changes gather into one answer,
     *     in milliseconds; not null
     * @param listener who hears of changes, not null
     * @return the mirror, never null
     */
    public static StoreMirror start(
            EventLoop loop,
            VersionedStore store,
            String prefix,
            long waitMillis,
            LongSupplier gatherMillis,
            Listener listener) {
        Objects.requireNonNull(listener, "listener");
        StoreMirror mirror =
                new StoreMirror(loop, store, prefix, waitMillis, gatherMillis, listener);
        mirror.read("");
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

    private void read(String after) {
        mStore.read(mPrefix, after, page -> page.peek(this::page).peekLeft(this::readAgain));
    }

    private void page(StorePage page) {
        reached(true);
        if (mPages.isEmpty()) {
            mRevision = page.revision();
        }
        mPages.addAll(page.items());
        if (page.more() && !page.items().isEmpty()) {
            read(page.items().get(page.items().size() - 1).key());
            return;
        }
        Map<String, StoreItem> items = new TreeMap<>();
        for (StoreItem item : mPages) {
            items.put(item.key(), item);
        }
        mPages = new ArrayList<>();
        mItems = items;
        mListener.changed(this);
        pauseThenWatch();
    }

    private void readAgain(StoreFailure failure) {
        reached(false);
        mPages = new ArrayList<>();
        mLoop.later(pause(), () -> read(""));
    }

    /** Ends the pause before the next watch, because changes are wanted now. */
    public void hurry() {
        if (mPausing) {
            mPauses++;
            mPausing = false;
            refresh();
        }
    }

    private void pauseThenWatch() {
        mPausing = true;
        int pause = ++mPauses;
        mLoop.later(
                mGatherMillis.getAsLong(),
                () -> {
                    if (pause == mPauses && mPausing) {
                        mPausing = false;
                        refresh();
                    }
                });
    }

    private void refresh() {
        if (ageMillis() < OLD_MILLIS) {
            watch();
        } else {
            read("");
        }
    }

    private void watch() {
        // A call that is lost in an outage must not hide the store's return for a whole wait.
        long wait = mReached ? mWaitMillis : PROBE_WAIT_MILLIS;
        mStore.watch(mPrefix, mRevision, wait, this::watched);
    }

    private void watched(Either<StoreFailure, StorePage> answer) {
        if (answer.isLeft()) {
            if (answer.getLeft() == StoreFailure.HISTORY_GONE) {
                read("");
                return;
            }
            reached(false);
            mLoop.later(pause(), this::watch);
            return;
        }
        reached(true);
        StorePage page = answer.get();
        mRevision = Math.max(mRevision, page.revision());
        page.items().forEach(item -> mItems.put(item.key(), item));
        page.removed().forEach(mItems::remove);
        if (!page.items().isEmpty() || !page.removed().isEmpty()) {
            mListener.changed(this);
        }
        pauseThenWatch();
    }

    private long pause() {
        long pause = Math.min(RETRY_MILLIS << Math.min(mFailures, 4), LONGEST_RETRY_MILLIS);
        mFailures++;
        return pause;
    }

    private void reached(boolean reached) {
        if (reached) {
            mAnsweredNanos = mLoop.nowNanos();
            mFailures = 0;
        }
        if (reached != mReached) {
            mReached = reached;
            mListener.reached(this, reached);
        }
    }
}
