package org.wagtailproxy.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.serve.EventLoop;

class StoreMirrorTest {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ManualEventLoop mLoop = new ManualEventLoop();
    private final RecordingStore mStore = new RecordingStore();
    private long mBatchDelayMillis = 100;
    private int mMissed;

    @Test
    void testWatchesAfterShortPause() {
        start();
        mLoop.advance(100);
        assertThat(mStore.mCalls, contains("read", "watch"));
    }

    @Test
    void testRereadsOldCopyAfterLongPause() {
        mBatchDelayMillis = 8000;
        start();
        mLoop.advance(8000);
        assertThat(mStore.mCalls, contains("read", "read"));
    }

    @Test
    void testRefreshNowRereadsOldCopyAndWatchesRecentCopy() {
        mBatchDelayMillis = 8000;
        StoreMirror mirror = start();
        mLoop.advance(1000);
        mirror.refreshNow();
        assertThat(mStore.mCalls, contains("read", "watch"));
        mStore.completeCall();
        mLoop.advance(5000);
        mirror.refreshNow();
        assertThat(mStore.mCalls, contains("read", "watch", "read"));
    }

    @Test
    void testChangesAreReadWhileWatchWaitsAndItsLateAnswerIsIgnored() {
        StoreMirror mirror = start();
        mLoop.advance(100);
        Consumer<Either<StoreFailure, StorePage>> waitingWatch = mStore.mCallback;
        List<Boolean> confirmed = new ArrayList<>();
        mirror.readChanges(confirmed::add);
        mStore.mCallback.accept(Either.right(page(9, item("servers/a", 9))));
        assertThat(confirmed, contains(true));
        StoreItem removed = item("servers/b", 8);
        waitingWatch.accept(Either.right(page(8, item("servers/a", 8), removed)));
        assertThat(mirror.items().stream().map(StoreItem::revision).toList(), contains(9L));
        mirror.readChanges(confirmed::add);
        mStore.mCallback.accept(Either.left(StoreFailure.REFUSED));
        assertThat(confirmed, contains(true, false));
    }

    @Test
    void testItemsAreMissedOnlyBeforeFirstReadAndBetweenDistantReads() {
        mBatchDelayMillis = 4000;
        start();
        assertThat(mMissed, is(1));
        mLoop.advance(4000);
        mStore.completeCall();
        assertThat(mMissed, is(1));
        mBatchDelayMillis = 100;
        mLoop.advance(4000);
        mLoop.advance(500);
        mStore.completeCall();
        assertThat(mStore.mCalls, contains("read", "read", "read"));
        assertThat(mMissed, is(2));
    }

    @Test
    void testItemWrittenAndRemovedWithinOneWatchIsMissed() {
        StoreMirror mirror = start();
        mLoop.advance(100);
        mStore.mCallback.accept(Either.right(page(8, item("servers/a", 8))));
        mLoop.advance(100);
        mStore.mCallback.accept(Either.right(removal(9, "servers/a")));
        assertThat(mMissed, is(1));
        mLoop.advance(100);
        mStore.mCallback.accept(Either.right(removal(11, "servers/b")));
        assertThat(mMissed, is(2));
        assertThat(mirror.items(), is(empty()));
    }

    @Test
    void testReadsItemsInPagesAfterUnreadableWatch() {
        start();
        mLoop.advance(100);
        mStore.mCallback.accept(Either.left(StoreFailure.UNREADABLE));
        mLoop.advance(250);
        mStore.completeCall();
        mLoop.advance(100);
        assertThat(mStore.mCalls, contains("read", "watch", "read", "watch"));
    }

    /** Guards against a copy that stays as it is while the connection of its watch is silent. */
    @Test
    void testChangesAreReadOnNewConnectionOnceWatchIsOverdue() {
        StoreMirror mirror = start();
        mLoop.advance(100);
        Consumer<Either<StoreFailure, StorePage>> silentWatch = mStore.mCallback;
        mLoop.advance(2799);
        assertThat(mStore.mCalls, contains("read", "watch"));
        mLoop.advance(1);
        assertThat(mStore.mCalls, contains("read", "watch", "watch"));
        assertThat(mStore.mOnNewConnection, is(true));
        mStore.mCallback.accept(Either.right(page(9, item("servers/a", 9))));
        assertThat(mirror.items().size(), is(1));
        silentWatch.accept(Either.left(StoreFailure.UNANSWERED));
        mLoop.advance(250);
        assertThat(mStore.mCalls, contains("read", "watch", "watch", "watch"));
    }

    @Test
    void testWatchThatIsAnsweredInTimeIsNotOverdue() {
        start();
        mLoop.advance(100);
        mLoop.advance(2500);
        mStore.completeCall();
        mLoop.advance(100);
        mLoop.advance(300);
        assertThat(mStore.mCalls, contains("read", "watch", "watch"));
    }

    @Test
    void testRefreshTellsWhetherACallIsUnderWay() {
        StoreMirror mirror = start();
        assertThat(mirror.refreshNow(), is(true));
        assertThat(mStore.mOnNewConnection, is(true));
        assertThat(mirror.refreshNow(), is(false));
    }

    private static StorePage removal(long revision, String key) {
        return new StorePage(List.of(), List.of(key), revision, false);
    }

    private static StoreItem item(String key, long revision) {
        return new StoreItem(key, new byte[0], revision);
    }

    private static StorePage page(long revision, StoreItem... items) {
        return new StorePage(List.of(items), List.of(), revision, false);
    }

    private StoreMirror start() {
        StoreMirror mirror =
                StoreMirror.start(
                        mLoop,
                        mStore,
                        "servers/",
                        2500,
                        () -> mBatchDelayMillis,
                        new CountingListener());
        mStore.completeCall();
        assertThat(mirror.ageMillis(), is(0L));
        return mirror;
    }

    /** Event loop whose time advances on demand. */
    private static final class ManualEventLoop implements EventLoop {
        private final PriorityQueue<Event> mEvents =
                new PriorityQueue<>(
                        Comparator.comparingLong(Event::atMillis).thenComparingInt(Event::number));
        private long mNowMillis = 1000;
        private int mNextNumber;

        private record Event(long atMillis, int number, Runnable work) {}

        void advance(long millis) {
            mNowMillis += millis;
            while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= mNowMillis) {
                mEvents.poll().work().run();
            }
        }

        @Override
        public void schedule(long millis, Runnable work) {
            mEvents.add(new Event(mNowMillis + millis, mNextNumber++, work));
        }

        @Override
        public void execute(Runnable work) {
            work.run();
        }

        @Override
        public long nowNanos() {
            return mNowMillis * NANOS_PER_MILLI;
        }

        @Override
        public long wallClockMillis() {
            return mNowMillis;
        }
    }

    /** Store that records reads and watches and completes the last call on demand. */
    private static class RecordingStore implements VersionedStore {
        private final List<String> mCalls = new ArrayList<>();
        private Consumer<Either<StoreFailure, StorePage>> mCallback;
        private boolean mOnNewConnection;

        @Override
        public VersionedStore onNewConnections() {
            RecordingStore calling = this;
            return new RecordingStore() {
                @Override
                public void watch(
                        String prefix,
                        long afterRevision,
                        long waitMillis,
                        Consumer<Either<StoreFailure, StorePage>> callback) {
                    calling.mOnNewConnection = true;
                    calling.watch(prefix, afterRevision, waitMillis, callback);
                }

                @Override
                public void read(
                        String prefix,
                        String after,
                        Consumer<Either<StoreFailure, StorePage>> callback) {
                    calling.mOnNewConnection = true;
                    calling.read(prefix, after, callback);
                }
            };
        }

        void completeCall() {
            mCallback.accept(Either.right(new StorePage(List.of(), List.of(), 7, false)));
        }

        @Override
        public void read(
                String prefix, String after, Consumer<Either<StoreFailure, StorePage>> callback) {
            mCalls.add("read");
            mCallback = callback;
        }

        @Override
        public void watch(
                String prefix,
                long afterRevision,
                long waitMillis,
                Consumer<Either<StoreFailure, StorePage>> callback) {
            mCalls.add("watch");
            mCallback = callback;
        }

        @Override
        public void write(
                String key,
                byte[] value,
                long lease,
                Consumer<Either<StoreFailure, Long>> callback) {
            throw new UnsupportedOperationException("a mirror only reads");
        }

        @Override
        public void commit(
                StoreTransaction transaction, Consumer<Either<StoreFailure, Long>> callback) {
            throw new UnsupportedOperationException("a mirror only reads");
        }

        @Override
        public void remove(String key, Consumer<Either<StoreFailure, Long>> callback) {
            throw new UnsupportedOperationException("a mirror only reads");
        }

        @Override
        public void grantLease(long ttlMillis, Consumer<Either<StoreFailure, Long>> callback) {
            throw new UnsupportedOperationException("a mirror only reads");
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreFailure, Long>> callback) {
            throw new UnsupportedOperationException("a mirror only reads");
        }
    }

    /** Listener that counts how often items may have been missed. */
    private final class CountingListener implements StoreMirror.Listener {

        @Override
        public void onChanged(StoreMirror mirror) {}

        @Override
        public void onReachabilityChanged(StoreMirror mirror, boolean reachable) {}

        @Override
        public void onItemsMissed(StoreMirror mirror) {
            mMissed++;
        }
    }
}
