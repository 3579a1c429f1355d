package org.wagtailproxy.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.serve.EventLoop;

class LeasedItemTest {

    private final RecordingStore mStore = new RecordingStore();

    @Test
    void testItemIsNotWrittenAfterRemovalThatPrecedesGrantOfLease() {
        LeasedItem item = start();
        item.remove();
        mStore.completeCall();
        assertThat(mStore.mCalls, contains("grant", "remove"));
    }

    @Test
    void testItemIsRemovedAgainAfterWriteThatRemovalMayHaveOvertaken() {
        LeasedItem item = start();
        mStore.completeCall();
        item.remove();
        mStore.completeCall();
        assertThat(mStore.mCalls, contains("grant", "write", "remove", "remove"));
    }

    private LeasedItem start() {
        return LeasedItem.start(
                new IdleEventLoop(), mStore, "instances/n1", new byte[0], revision -> {});
    }

    /** Event loop whose timers never fire. */
    private static final class IdleEventLoop implements EventLoop {

        @Override
        public void schedule(long millis, Runnable work) {}

        @Override
        public void execute(Runnable work) {
            work.run();
        }

        @Override
        public long nowNanos() {
            return 0;
        }

        @Override
        public long wallClockMillis() {
            return 0;
        }
    }

    /** Store that records calls and completes grants and writes on demand, in order. */
    private static final class RecordingStore implements VersionedStore {
        private final List<String> mCalls = new ArrayList<>();
        private final Deque<Consumer<Either<StoreFailure, Long>>> mCallbacks = new ArrayDeque<>();

        void completeCall() {
            mCallbacks.remove().accept(Either.right(7L));
        }

        @Override
        public void grantLease(long ttlMillis, Consumer<Either<StoreFailure, Long>> callback) {
            mCalls.add("grant");
            mCallbacks.add(callback);
        }

        @Override
        public void write(
                String key,
                byte[] value,
                long lease,
                Consumer<Either<StoreFailure, Long>> callback) {
            mCalls.add("write");
            mCallbacks.add(callback);
        }

        @Override
        public void remove(String key, Consumer<Either<StoreFailure, Long>> callback) {
            mCalls.add("remove");
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreFailure, Long>> callback) {
            mCalls.add("renew");
        }

        @Override
        public void read(
                String prefix, String after, Consumer<Either<StoreFailure, StorePage>> callback) {
            throw new UnsupportedOperationException("a leased item is only written");
        }

        @Override
        public void watch(
                String prefix,
                long afterRevision,
                long waitMillis,
                Consumer<Either<StoreFailure, StorePage>> callback) {
            throw new UnsupportedOperationException("a leased item is only written");
        }

        @Override
        public void commit(
                StoreTransaction transaction, Consumer<Either<StoreFailure, Long>> callback) {
            throw new UnsupportedOperationException("a leased item is written without guard");
        }
    }
}
