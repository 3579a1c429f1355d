package org.wagtailproxy.dispatcher;

import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.store.StoreItem;
import org.wagtailproxy.store.StoreMirror;
import org.wagtailproxy.store.VersionedStore;
import org.wagtailproxy.wire.KeeperRecord;

/**
 * Watches the guard, the item of the store that records whether there may be stored jobs. Confined
 * to the event loop.
 *
 * <p>Jobs are assumed to be possible until the guard has been read, and if it cannot be decoded.
 */
final class StoredJobsMonitor {

    /**
     * Longest wait of a watch. A lost watch is detected after this time; until then the presence of
     * the leader shows that it coordinates jobs.
     */
    private static final long WATCH_MILLIS = 20_000;

    /** Pause between watches of the guard, which each new coordinator writes. */
    private static final long BATCH_DELAY_MILLIS = 200;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private boolean mRead;
    private boolean mJobsPossible = true;

    /** Creates a monitor that has read nothing. */
    StoredJobsMonitor(EventLoop loop, VersionedStore store) {
        mLoop = loop;
        mStore = store;
    }

    /**
     * Starts to watch the guard.
     *
     * @param onRead runs after the first read and after each change of the guard
     */
    void start(Runnable onRead) {
        mLoop.execute(
                () ->
                        StoreMirror.start(
                                mLoop,
                                mStore,
                                CoordinatorTerm.GUARD_KEY,
                                WATCH_MILLIS,
                                () -> BATCH_DELAY_MILLIS,
                                new GuardListener(onRead)));
    }

    /** Checks whether the guard has been read, or is known not to exist. */
    boolean isRead() {
        return mRead;
    }

    /** Checks whether there may be stored jobs, as far as the guard shows. */
    boolean areJobsPossible() {
        return mJobsPossible;
    }

    /** Applies changes of the guard. */
    private final class GuardListener implements StoreMirror.Listener {

        private final Runnable mOnRead;

        private GuardListener(Runnable onRead) {
            mOnRead = onRead;
        }

        @Override
        public void onChanged(StoreMirror mirror) {
            mRead = true;
            mJobsPossible = false;
            for (StoreItem item : mirror.items()) {
                if (item.key().equals(CoordinatorTerm.GUARD_KEY)) {
                    mJobsPossible =
                            !JobRecords.decodeKeeper(item.value())
                                    .exists(record -> record.getJobs() == KeeperRecord.Jobs.NONE);
                }
            }
            mOnRead.run();
        }

        @Override
        public void onReachabilityChanged(StoreMirror mirror, boolean reachable) {
            // The other mirrors report whether the store is reachable.
        }
    }
}
