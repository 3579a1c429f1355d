package org.wagtailproxy.store;

import io.vavr.control.Either;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Consumer;
import org.wagtailproxy.observe.MetricsRecorder;

/** Counts the calls to a store by operation and outcome, and delegates them. */
public final class CountingStore implements VersionedStore {

    private static final String ANSWERED = "answered";

    private final VersionedStore mStore;
    private final MetricsRecorder mMetrics;

    private CountingStore(VersionedStore store, MetricsRecorder metrics) {
        mStore = store;
        mMetrics = metrics;
    }

    /**
     * Creates a store that delegates to another one.
     *
     * @param store the store to delegate to, not null
     * @param metrics the recorder of the counts, not null
     * @return the store, never null
     */
    public static CountingStore of(VersionedStore store, MetricsRecorder metrics) {
        Objects.requireNonNull(store, "store");
        return new CountingStore(store, Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public VersionedStore onNewConnections() {
        return new CountingStore(mStore.onNewConnections(), mMetrics);
    }

    @Override
    public void read(
            String prefix, String after, Consumer<Either<StoreFailure, StorePage>> callback) {
        mStore.read(prefix, after, counting("read", callback));
    }

    @Override
    public void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<Either<StoreFailure, StorePage>> callback) {
        mStore.watch(prefix, afterRevision, waitMillis, counting("watch", callback));
    }

    @Override
    public void write(
            String key, byte[] value, long lease, Consumer<Either<StoreFailure, Long>> callback) {
        mStore.write(key, value, lease, counting("write", callback));
    }

    @Override
    public void commit(
            StoreTransaction transaction, Consumer<Either<StoreFailure, Long>> callback) {
        mStore.commit(transaction, counting("commit", callback));
    }

    @Override
    public void remove(String key, Consumer<Either<StoreFailure, Long>> callback) {
        mStore.remove(key, counting("remove", callback));
    }

    @Override
    public void grantLease(long ttlMillis, Consumer<Either<StoreFailure, Long>> callback) {
        mStore.grantLease(ttlMillis, counting("grant-lease", callback));
    }

    @Override
    public void renewLease(long lease, Consumer<Either<StoreFailure, Long>> callback) {
        mStore.renewLease(lease, counting("renew-lease", callback));
    }

    private <T> Consumer<Either<StoreFailure, T>> counting(
            String call, Consumer<Either<StoreFailure, T>> callback) {
        return result -> {
            String outcome = result.fold(CountingStore::outcomeName, value -> ANSWERED);
            mMetrics.record(metrics -> metrics.storeCalled(call, outcome));
            callback.accept(result);
        };
    }

    private static String outcomeName(StoreFailure failure) {
        return failure.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
