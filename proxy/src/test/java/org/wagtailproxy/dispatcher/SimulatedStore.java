package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.wagtailproxy.store.StoreFailure;
import org.wagtailproxy.store.StoreItem;
import org.wagtailproxy.store.StorePage;
import org.wagtailproxy.store.StoreTransaction;
import org.wagtailproxy.store.VersionedStore;

/** The store that all instances share; calls and answers are lost in cuts and outages. */
final class SimulatedStore {

    static final SimulatedNetwork.Host HOST = new SimulatedNetwork.Host("store", "store");
    private static final long CALL_TIMEOUT_MILLIS = 800;
    private static final long MIN_ANSWER_MICROS = 2000;
    private static final long MAX_ANSWER_MICROS = 6000;

    final StoreDisruptions mDisruptions;
    private final VirtualTime mTime;
    private final SimulatedNetwork mNetwork;
    private final Map<String, StoreItem> mItems = new TreeMap<>();
    private final Map<String, Long> mRemoved = new TreeMap<>();
    private final Map<String, Long> mLeaseOfItem = new HashMap<>();
    private final Map<Long, Long> mLeaseEndNanos = new HashMap<>();
    private final Map<Long, Long> mLeaseMillis = new HashMap<>();
    private final List<Runnable> mWatches = new ArrayList<>();
    private final Map<SimulatedProcess, Runnable> mOnRenewals = new HashMap<>();
    private long mRevision = 100;
    private long mCompactedRevision;
    private long mNextLease = 1;
    boolean mDown;

    /** Share of the watches of the guard that are lost, so that some instances read it late. */
    double mGuardLossRate;

    SimulatedStore(VirtualTime time, SimulatedNetwork network) {
        mTime = time;
        mNetwork = network;
        mDisruptions = new StoreDisruptions(time);
    }

    VersionedStore clientOf(SimulatedProcess process) {
        return new Client(process, false);
    }

    long put(String key, byte[] value) {
        mRevision++;
        mItems.put(key, new StoreItem(key, value, mRevision));
        mRemoved.remove(key);
        wakeWatches();
        return mRevision;
    }

    void remove(String key) {
        if (mItems.remove(key) != null) {
            mRemoved.put(key, ++mRevision);
            mLeaseOfItem.remove(key);
            wakeWatches();
        }
    }

    /** Runs work once a process asks for the next renewal of its lease. */
    void onNextRenewal(SimulatedProcess process, Runnable work) {
        mOnRenewals.put(process, work);
    }

    /** Lets the watches hear nothing for a while, then drops the history and cuts them. */
    void compactAfterSilence(long millis) {
        mDisruptions.silenceWatches(true);
        mTime.after(
                millis,
                () -> {
                    mDisruptions.silenceWatches(false);
                    mCompactedRevision = mRevision;
                    mWatches.clear();
                });
    }

    /** Ends all leases, as an outage may do. */
    void expireLeases() {
        for (String key : new TreeSet<>(mLeaseOfItem.keySet())) {
            remove(key);
        }
        mLeaseEndNanos.clear();
    }

    private void wakeWatches() {
        List<Runnable> watches = List.copyOf(mWatches);
        mWatches.clear();
        watches.forEach(watch -> mTime.afterNanos(0, watch));
    }

    private StorePage changes(String prefix, long afterRevision) {
        List<StoreItem> items =
                mItems.values().stream()
                        .filter(item -> item.key().startsWith(prefix))
                        .filter(item -> item.revision() > afterRevision)
                        .toList();
        List<String> removed =
                mRemoved.entrySet().stream()
                        .filter(entry -> entry.getKey().startsWith(prefix))
                        .filter(entry -> entry.getValue() > afterRevision)
                        .map(Map.Entry::getKey)
                        .toList();
        return new StorePage(items, removed, mRevision, false);
    }

    private void expire(long lease) {
        Long endNanos = mLeaseEndNanos.get(lease);
        if (endNanos == null) {
            return;
        }
        if (mDown || mTime.nowNanos() < endNanos) {
            mTime.at(Math.max(endNanos, mTime.nowNanos() + 100_000_000), () -> expire(lease));
            return;
        }
        mLeaseEndNanos.remove(lease);
        for (Map.Entry<String, Long> entry : new TreeMap<>(mLeaseOfItem).entrySet()) {
            if (entry.getValue() == lease) {
                mTime.note("lapsed " + entry.getKey());
                remove(entry.getKey());
            }
        }
    }

    /** The calls of one process. */
    private final class Client implements VersionedStore {
        private final SimulatedProcess mProcess;

        /** True if the calls do not use connections that may have gone silent. */
        private final boolean mOnNewConnections;

        private Client(SimulatedProcess process, boolean onNewConnections) {
            mProcess = process;
            mOnNewConnections = onNewConnections;
        }

        @Override
        public VersionedStore onNewConnections() {
            return new Client(mProcess, true);
        }

        private StoreDisruptions.Fate draw(StoreDisruptions.Kind kind) {
            return mDisruptions.draw(mProcess, kind, mOnNewConnections);
        }

        private boolean isSilentSince(long sentNanos) {
            return !mOnNewConnections && mDisruptions.isSilentSince(mProcess, sentNanos);
        }

        private <T> void call(
                StoreDisruptions.Kind kind,
                Supplier<Either<StoreFailure, T>> work,
                Consumer<Either<StoreFailure, T>> callback) {
            boolean[] finished = new boolean[1];
            long sentNanos = mTime.nowNanos();
            StoreDisruptions.Fate fate = draw(kind);
            mProcess.schedule(
                    CALL_TIMEOUT_MILLIS,
                    () -> finish(finished, callback, Either.left(StoreFailure.UNANSWERED)));
            mTime.afterNanos(
                    answerNanos(),
                    () -> {
                        if (!isReachable()) {
                            return;
                        }
                        switch (fate) {
                            case LOST -> mTime.note("the store hears nothing of a call");
                            case REFUSED ->
                                    answer(
                                            finished,
                                            sentNanos,
                                            callback,
                                            Either.left(StoreFailure.REFUSED));
                            case DONE_UNANSWERED -> work.get();
                            case LATE ->
                                    mTime.after(mDisruptions.drawLateMillis(), () -> doLate(work));
                            default -> answer(finished, sentNanos, callback, work.get());
                        }
                    });
        }

        private static <T> void doLate(Supplier<Either<StoreFailure, T>> work) {
            work.get();
        }

        private boolean isReachable() {
            return !mDown && !mNetwork.isCut(mProcess.mHost, HOST);
        }

        private <T> void answer(
                boolean[] finished,
                long sentNanos,
                Consumer<Either<StoreFailure, T>> callback,
                Either<StoreFailure, T> result) {
            mTime.afterNanos(
                    answerNanos(),
                    () -> {
                        if (!mNetwork.isCut(HOST, mProcess.mHost) && !isSilentSince(sentNanos)) {
                            mProcess.execute(() -> finish(finished, callback, result));
                        }
                    });
        }

        private static <T> void finish(
                boolean[] finished,
                Consumer<Either<StoreFailure, T>> callback,
                Either<StoreFailure, T> result) {
            if (!finished[0]) {
                finished[0] = true;
                callback.accept(result);
            }
        }

        private long answerNanos() {
            return 1000
                    * mDisruptions.slowness()
                    * mTime.between(MIN_ANSWER_MICROS, MAX_ANSWER_MICROS);
        }

        @Override
        public void read(
                String prefix, String after, Consumer<Either<StoreFailure, StorePage>> callback) {
            call(
                    StoreDisruptions.Kind.READ,
                    () -> {
                        StorePage all = changes(prefix, 0);
                        return Either.right(
                                new StorePage(all.items(), List.of(), all.revision(), false));
                    },
                    callback);
        }

        @Override
        public void watch(
                String prefix,
                long afterRevision,
                long waitMillis,
                Consumer<Either<StoreFailure, StorePage>> callback) {
            boolean[] finished = new boolean[1];
            long sentNanos = mTime.nowNanos();
            StoreDisruptions.Fate fate = draw(StoreDisruptions.Kind.READ);
            mProcess.schedule(
                    waitMillis + CALL_TIMEOUT_MILLIS,
                    () -> finish(finished, callback, Either.left(StoreFailure.UNANSWERED)));
            boolean isLost =
                    prefix.equals(CoordinatorTerm.GUARD_KEY) && mTime.chance(mGuardLossRate);
            mTime.afterNanos(
                    answerNanos(),
                    () -> {
                        if (isReachable() && fate == StoreDisruptions.Fate.REFUSED) {
                            answer(
                                    finished,
                                    sentNanos,
                                    callback,
                                    Either.left(StoreFailure.REFUSED));
                        } else if (isReachable()
                                && !isLost
                                && fate == StoreDisruptions.Fate.ANSWERED) {
                            long untilNanos = mTime.nowNanos() + 1_000_000 * waitMillis;
                            mTime.at(untilNanos, this::wakeOne);
                            waitForChange(
                                    prefix,
                                    afterRevision,
                                    untilNanos,
                                    finished,
                                    sentNanos,
                                    callback);
                        }
                    });
        }

        private void wakeOne() {
            wakeWatches();
        }

        private void waitForChange(
                String prefix,
                long afterRevision,
                long untilNanos,
                boolean[] finished,
                long sentNanos,
                Consumer<Either<StoreFailure, StorePage>> callback) {
            StorePage page = changes(prefix, afterRevision);
            boolean isChanged = !page.items().isEmpty() || !page.removedKeys().isEmpty();
            if (finished[0] || !mProcess.isAlive()) {
                return;
            }
            boolean isDue = isChanged || mTime.nowNanos() >= untilNanos;
            if (isDue && !mDisruptions.areWatchesSilent()) {
                if (!mDown) {
                    answer(
                            finished,
                            sentNanos,
                            callback,
                            afterRevision < mCompactedRevision
                                    ? Either.left(StoreFailure.HISTORY_GONE)
                                    : Either.right(page));
                }
                return;
            }
            mWatches.add(
                    () ->
                            waitForChange(
                                    prefix,
                                    afterRevision,
                                    untilNanos,
                                    finished,
                                    sentNanos,
                                    callback));
        }

        @Override
        public void write(
                String key,
                byte[] value,
                long lease,
                Consumer<Either<StoreFailure, Long>> callback) {
            call(
                    StoreDisruptions.Kind.WRITE,
                    () -> {
                        if (lease != 0 && !mLeaseEndNanos.containsKey(lease)) {
                            return Either.left(StoreFailure.LEASE_GONE);
                        }
                        if (lease != 0) {
                            mLeaseOfItem.put(key, lease);
                        }
                        return Either.right(put(key, value));
                    },
                    callback);
        }

        @Override
        public void commit(
                StoreTransaction transaction, Consumer<Either<StoreFailure, Long>> callback) {
            call(
                    StoreDisruptions.Kind.WRITE,
                    () -> {
                        StoreItem guard = mItems.get(transaction.guard());
                        long revision = guard == null ? 0 : guard.revision();
                        if (revision != transaction.guardRevision()) {
                            return Either.left(StoreFailure.CONFLICT);
                        }
                        new TreeMap<>(transaction.writes()).forEach(SimulatedStore.this::put);
                        transaction.keysToRemove().forEach(SimulatedStore.this::remove);
                        return Either.right(mRevision);
                    },
                    callback);
        }

        @Override
        public void remove(String key, Consumer<Either<StoreFailure, Long>> callback) {
            call(
                    StoreDisruptions.Kind.WRITE,
                    () -> {
                        SimulatedStore.this.remove(key);
                        return Either.right(mRevision);
                    },
                    callback);
        }

        @Override
        public void grantLease(long ttlMillis, Consumer<Either<StoreFailure, Long>> callback) {
            call(
                    StoreDisruptions.Kind.LEASE,
                    () -> {
                        long lease = mNextLease++;
                        mLeaseMillis.put(lease, ttlMillis);
                        mLeaseEndNanos.put(lease, mTime.nowNanos() + 1_000_000 * ttlMillis);
                        mTime.after(ttlMillis, () -> expire(lease));
                        return Either.right(lease);
                    },
                    callback);
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreFailure, Long>> callback) {
            Runnable work = mOnRenewals.remove(mProcess);
            if (work != null) {
                work.run();
            }
            call(
                    StoreDisruptions.Kind.LEASE,
                    () -> {
                        if (!mLeaseEndNanos.containsKey(lease)) {
                            return Either.left(StoreFailure.LEASE_GONE);
                        }
                        long millis = mLeaseMillis.get(lease);
                        mLeaseEndNanos.put(lease, mTime.nowNanos() + 1_000_000 * millis);
                        return Either.right(millis);
                    },
                    callback);
        }
    }
}
