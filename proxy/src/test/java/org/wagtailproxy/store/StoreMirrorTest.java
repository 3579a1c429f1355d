package org.wagtailproxy.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.serve.EventLoop;

class StoreMirrorTest {

    private static final long MILLI = 1_000_000;

    private final Clockwork mLoop = new Clockwork();
    private final Calls mStore = new Calls();
    private long mGatherMillis = 100;

    @Test
    void testShortPauseIsFollowedByAWatch() {
        start();
        mLoop.pass(100);
        assertThat(mStore.mCalls, contains("read", "watch"));
    }

    @Test
    void testCopyThatIsOldAfterALongPauseIsReadAnew() {
        mGatherMillis = 8000;
        start();
        mLoop.pass(8000);
        assertThat(mStore.mCalls, contains("read", "read"));
    }

    @Test
    void testWhoeverIsInAHurryGetsAnOldCopyReadAnewAndAYoungOneBroughtUpToDate() {
        mGatherMillis = 8000;
        StoreMirror mirror = start();
        mLoop.pass(1000);
        mirror.hurry();
        assertThat(mStore.mCalls, contains("read", "watch"));
        mStore.answer();
        mLoop.pass(5000);
        mirror.hurry();
        assertThat(mStore.mCalls, contains("read", "watch", "read"));
    }

    private StoreMirror start() {
        StoreMirror mirror =
                StoreMirror.start(
                        mLoop, mStore, "servers/", 2500, () -> mGatherMillis, new Nobody());
        mStore.answer();
        assertThat(mirror.ageMillis(), is(0L));
        return mirror;
    }

    /** Time that passes on demand. */
    private static final class Clockwork implements EventLoop {
        private final Deque<Runnable> mWork = new ArrayDeque<>();
        private final Deque<Long> mAtMillis = new ArrayDeque<>();
        private long mNowMillis = 1000;

        void pass(long millis) {
            mNowMillis += millis;
            while (!mWork.isEmpty() && mAtMillis.peek() <= mNowMillis) {
                mAtMillis.poll();
                mWork.poll().run();
            }
        }

        @Override
        public void later(long millis, Runnable work) {
            mWork.add(work);
            mAtMillis.add(mNowMillis + millis);
        }

        @Override
        public void run(Runnable work) {
            work.run();
        }

        @Override
        public long nowNanos() {
            return mNowMillis * MILLI;
        }

        @Override
        public long wallMillis() {
            return mNowMillis;
        }
    }

    /** Notes reads and watches; answers on demand. */
    private static final class Calls implements VersionedStore {
        private final List<String> mCalls = new ArrayList<>();
        private Consumer<Either<StoreFailure, StorePage>> mAnswer;

        void answer() {
            mAnswer.accept(Either.right(new StorePage(List.of(), List.of(), 7, false)));
        }

        @Override
        public void read(
                String prefix, String after, Consumer<Either<StoreFailure, StorePage>> answer) {
            mCalls.add("read");
            mAnswer = answer;
        }

        @Override
        public void watch(
                String prefix,
                long afterRevision,
                long waitMillis,
                Consumer<Either<StoreFailure, StorePage>> answer) {
            mCalls.add("watch");
            mAnswer = answer;
        }

        @Override
        public void write(
                String key, byte[] value, long lease, Consumer<Either<StoreFailure, Long>> answer) {
            throw new UnsupportedOperationException("a mirror only reads");
        }

        @Override
        public void commit(
                StoreTransaction transaction, Consumer<Either<StoreFailure, Long>> answer) {
            throw new UnsupportedOperationException("a mirror only reads");
        }

        @Override
        public void remove(String key, Consumer<Either<StoreFailure, Long>> answer) {
            throw new UnsupportedOperationException("a mirror only reads");
        }

        @Override
        public void grantLease(long ttlMillis, Consumer<Either<StoreFailure, Long>> answer) {
            throw new UnsupportedOperationException("a mirror only reads");
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreFailure, Long>> answer) {
            throw new UnsupportedOperationException("a mirror only reads");
        }
    }

    /** Does not listen. */
    private static final class Nobody implements StoreMirror.Listener {

        @Override
        public void changed(StoreMirror mirror) {}

        @Override
        public void reached(StoreMirror mirror, boolean reached) {}
    }
}
