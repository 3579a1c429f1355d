package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.store.StoreFailure;
import org.wagtailproxy.store.StoreItem;
import org.wagtailproxy.store.StorePage;
import org.wagtailproxy.store.StoreTransaction;
import org.wagtailproxy.store.VersionedStore;
import org.wagtailproxy.wire.KeeperRecord;
import org.wagtailproxy.workload.StoredJob;

/**
 * One time in which this instance keeps the stored jobs. Confined to the event loop.
 *
 * <p>It begins with a write to an item that guards all writes of the jobs, so that nothing of an
 * earlier keeper is written after the jobs have been read. After a write without an answer the
 * guard is written again, so that the lost write is not done later.
 */
final class CoordinatorTerm {

    /** The item that guards all writes. */
    private static final String GUARD = "keeper";

    private static final String JOBS = "jobs/";

    /** Pause after a failure, so that an outage costs few calls. */
    private static final long RETRY_MILLIS = 150;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final EventLog mLog;
    private final KeeperRecord mSelf;
    private final Listener mListener;
    private final List<StoredJob> mRead = new ArrayList<>();
    private long mGuardRevision;
    private long mGeneration;
    private boolean mOver;

    /** Hears what becomes of the term. */
    interface Listener {

        /** All stored jobs are known; they can be written from now on. */
        void began(CoordinatorTerm term, List<StoredJob> jobs);

        /** The write under way is done. */
        void committed();

        /** The write under way was not done and has to be tried again. */
        void notCommitted();

        /** Another instance keeps the jobs now. */
        void lost();
    }

    private CoordinatorTerm(
            EventLoop loop,
            VersionedStore store,
            EventLog log,
            KeeperRecord self,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mLog = log;
        mSelf = self;
        mListener = listener;
    }

    static CoordinatorTerm begin(
            EventLoop loop,
            VersionedStore store,
            EventLog log,
            KeeperRecord self,
            Listener listener) {
        CoordinatorTerm term = new CoordinatorTerm(loop, store, log, self, listener);
        term.readGuard(term::takeGuard);
        return term;
    }

    /** Rises with each keeper. */
    long generation() {
        return mGeneration;
    }

    void end() {
        mOver = true;
    }

    /** Writes and removes jobs together. */
    void commit(Map<String, byte[]> writes, List<String> removed) {
        mStore.commit(
                new StoreTransaction(GUARD, mGuardRevision, writes, removed),
                unlessOver(
                        done ->
                                done.peek(revision -> mListener.committed())
                                        .peekLeft(this::notCommitted)));
    }

    /** Returns the key of a job. */
    static String key(StoredJob job) {
        return JOBS + job.spec().id().value();
    }

    private void notCommitted(StoreFailure failure) {
        if (failure == StoreFailure.REFUSED) {
            mListener.notCommitted();
            return;
        }
        readGuard(this::renewGuard);
    }

    /** A late write of the guard by this instance may have changed its revision. */
    private void renewGuard(long revision, KeeperRecord holder) {
        boolean own =
                holder.getIncarnation().equals(mSelf.getIncarnation())
                        && holder.getGeneration() == mGeneration;
        if (!own) {
            mListener.lost();
            return;
        }
        writeGuard(revision, () -> mListener.notCommitted(), () -> readGuard(this::renewGuard));
    }

    private void readGuard(GuardReader reader) {
        mStore.read(
                GUARD,
                "",
                unlessOver(
                        page ->
                                page.peek(found -> guardRead(found, reader))
                                        .peekLeft(failure -> again(() -> readGuard(reader)))));
    }

    private void guardRead(StorePage page, GuardReader reader) {
        for (StoreItem item : page.items()) {
            if (item.key().equals(GUARD)) {
                KeeperRecord holder =
                        JobRecords.keeper(item.value())
                                .peekLeft(failure -> unreadable(item, failure.detail()))
                                .getOrElse(KeeperRecord.getDefaultInstance());
                reader.read(item.revision(), holder);
                return;
            }
        }
        reader.read(0, KeeperRecord.getDefaultInstance());
    }

    private void takeGuard(long revision, KeeperRecord holder) {
        mGeneration = holder.getGeneration() + 1;
        writeGuard(revision, () -> readJobs(""), () -> readGuard(this::takeGuard));
    }

    private void writeGuard(long revision, Runnable written, Runnable again) {
        byte[] value = mSelf.toBuilder().setGeneration(mGeneration).build().toByteArray();
        mStore.commit(
                new StoreTransaction(GUARD, revision, Map.of(GUARD, value), List.of()),
                unlessOver(
                        done ->
                                done.peek(
                                                own -> {
                                                    mGuardRevision = own;
                                                    written.run();
                                                })
                                        .peekLeft(failure -> again(again))));
    }

    private void readJobs(String after) {
        mStore.read(
                JOBS,
                after,
                unlessOver(
                        page ->
                                page.peek(this::jobsRead)
                                        .peekLeft(failure -> again(() -> readJobs(after)))));
    }

    private void jobsRead(StorePage page) {
        for (StoreItem item : page.items()) {
            JobRecords.decode(item.value())
                    .peek(mRead::add)
                    .peekLeft(failure -> unreadable(item, failure.detail()));
        }
        if (page.hasMore() && !page.items().isEmpty()) {
            readJobs(page.items().get(page.items().size() - 1).key());
            return;
        }
        mLog.event(EventName.JOBS_KEPT)
                .with(EventField.COUNT, mRead.size())
                .with(EventField.VERSION, mGeneration)
                .info();
        mListener.began(this, List.copyOf(mRead));
        mRead.clear();
    }

    private void unreadable(StoreItem item, String detail) {
        mLog.event(EventName.ENTRY_UNREADABLE)
                .with(EventField.RESOURCE, item.key())
                .with(EventField.DETAIL, detail)
                .warn();
    }

    private void again(Runnable work) {
        mLoop.later(
                RETRY_MILLIS,
                () -> {
                    if (!mOver) {
                        work.run();
                    }
                });
    }

    private <T> Consumer<Either<StoreFailure, T>> unlessOver(
            Consumer<Either<StoreFailure, T>> answer) {
        return result -> {
            if (!mOver) {
                answer.accept(result);
            }
        };
    }

    /** Takes over what the guard holds. */
    private interface GuardReader {

        /** The guard was read; revision 0 if it does not exist. */
        void read(long revision, KeeperRecord holder);
    }
}
