package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.wagtailproxy.leadership.InstanceName;
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
 * One term in which this instance coordinates the stored jobs. Confined to the event loop.
 *
 * <p>All writes of stored jobs are conditional on the revision of one store item, the guard. A term
 * starts by writing the guard, so that no write of an earlier coordinator can succeed after the
 * jobs have been read. After a write without an answer, the guard is written again, so that the
 * unanswered write cannot take effect later.
 *
 * <p>The guard also records whether there may be stored jobs: it says so before the first job is
 * written, so that every instance that has read it knows whether a coordinator is needed. And it
 * records the electors of this coordinator, and those of former ones until their authority has
 * lapsed, since the next coordinator needs a part of all of them.
 */
final class CoordinatorTerm {

    /** Key of the guard, the item whose revision conditions all writes of stored jobs. */
    static final String GUARD_KEY = "keeper";

    private static final String JOBS_PREFIX = "jobs/";

    /** Pause before a retry, which limits the calls to the store during an outage. */
    private static final long RETRY_MILLIS = 150;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final EventLog mLog;
    private final KeeperRecord mSelf;
    private final Listener mListener;
    private final Supplier<Set<InstanceName>> mElectors;
    private final List<StoredJob> mJobs = new ArrayList<>();
    private long mGuardRevision;
    private long mGeneration;

    /** What the guard says of the stored jobs, or will say once the outstanding write succeeds. */
    private KeeperRecord.Jobs mRecordedJobs = KeeperRecord.Jobs.UNKNOWN;

    /** The electors that the guard records, or may record if a write was not answered. */
    private Set<Set<InstanceName>> mRecordedElectors = new LinkedHashSet<>();

    /**
     * The electors of former coordinators, which stay recorded until their authority has lapsed.
     */
    private Set<Set<InstanceName>> mFormerElectors = Set.of();

    private boolean mRecordingJobs;
    private boolean mEnded;

    /** The commit that waits until the guard has been written. */
    private Option<Runnable> mWaitingCommit = Option.none();

    /** Notified of the start of the term, the results of calls and the loss of the term. */
    interface Listener {

        /**
         * The guard has been written, so that no other instance is confirmed as coordinator.
         *
         * @param formerElectors the electors of the coordinators before this one
         * @param storedJobsPossible false if it is known that they had no stored jobs
         */
        void onTermBegun(Set<Set<InstanceName>> formerElectors, boolean storedJobsPossible);

        /**
         * The store has confirmed that the guard is that of this term.
         *
         * @param askedNanos when it was asked
         * @param electors the electors that the guard records
         */
        void onConfirmed(long askedNanos, Set<Set<InstanceName>> electors);

        /** The store has not answered whether the guard is that of this term. */
        void onNotConfirmed(long askedNanos);

        /** All stored jobs have been read; they can be written from now on. */
        void onJobsRead(CoordinatorTerm term, List<StoredJob> jobs);

        /** The outstanding write has succeeded. */
        void onCommitted();

        /** The outstanding write has not been applied and has to be retried. */
        void onCommitFailed();

        /** Another instance coordinates the stored jobs now. */
        void onTermLost();
    }

    private CoordinatorTerm(
            EventLoop loop,
            VersionedStore store,
            EventLog log,
            KeeperRecord self,
            Supplier<Set<InstanceName>> electors,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mLog = log;
        mSelf = self;
        mElectors = electors;
        mListener = listener;
    }

    /**
     * Starts a term.
     *
     * @param self names this instance and its process
     * @param electors returns the electors to record at each write of the guard
     */
    static CoordinatorTerm start(
            EventLoop loop,
            VersionedStore store,
            EventLog log,
            KeeperRecord self,
            Supplier<Set<InstanceName>> electors,
            Listener listener) {
        CoordinatorTerm term = new CoordinatorTerm(loop, store, log, self, electors, listener);
        term.readGuard(term::claimGuard);
        return term;
    }

    /** Returns the generation of this term, which increases with each term. */
    long generation() {
        return mGeneration;
    }

    void end() {
        mEnded = true;
    }

    /**
     * Writes and removes jobs in one transaction; the listener is notified of the result. Call only
     * after the result of the previous one.
     */
    void commit(Map<String, byte[]> writes, List<String> removed) {
        recordJobs(KeeperRecord.Jobs.POSSIBLE, () -> writeJobs(writes, removed));
    }

    /** Records that no job is stored. Call only if all of them have been removed. */
    void recordNoJobs() {
        if (!mRecordingJobs) {
            recordJobs(KeeperRecord.Jobs.NONE, () -> {});
        }
    }

    /** Changes what the guard says of the stored jobs if necessary, then runs an action. */
    private void recordJobs(KeeperRecord.Jobs jobs, Runnable next) {
        if (mRecordingJobs) {
            mWaitingCommit = Option.some(() -> recordJobs(jobs, next));
            return;
        }
        if (mRecordedJobs == jobs) {
            next.run();
            return;
        }
        mRecordedJobs = jobs;
        rewriteGuard(next);
    }

    /** Writes the guard, then runs an action and the commit that has waited for the write. */
    private void rewriteGuard(Runnable next) {
        mRecordingJobs = true;
        Runnable onWritten =
                () -> {
                    mRecordingJobs = false;
                    next.run();
                    Option<Runnable> waitingCommit = mWaitingCommit;
                    mWaitingCommit = Option.none();
                    waitingCommit.forEach(Runnable::run);
                };
        writeGuard(mGuardRevision, onWritten, () -> renewGuard(onWritten));
    }

    /** Asks the store whether the guard is still that of this term. */
    void confirm() {
        long askedNanos = mLoop.nowNanos();
        mStore.read(
                GUARD_KEY,
                "",
                unlessEnded(
                        page ->
                                page.peek(
                                                found ->
                                                        onGuardPageRead(
                                                                found,
                                                                (revision, holder) ->
                                                                        onHolderRead(
                                                                                holder,
                                                                                askedNanos)))
                                        .peekLeft(
                                                failure -> mListener.onNotConfirmed(askedNanos))));
    }

    private void onHolderRead(KeeperRecord holder, long askedNanos) {
        if (isOwn(holder)) {
            mListener.onConfirmed(askedNanos, Set.copyOf(mRecordedElectors));
        } else {
            mListener.onTermLost();
        }
    }

    /** Records no electors of former coordinators any more, since their authority has lapsed. */
    void forgetFormerElectors() {
        mFormerElectors = Set.of();
    }

    /** Records the electors anew if they have changed. Call only while no commit is outstanding. */
    void updateElectors() {
        if (!mRecordingJobs && !mRecordedElectors.equals(electorsToRecord())) {
            rewriteGuard(() -> {});
        }
    }

    private Set<Set<InstanceName>> electorsToRecord() {
        Set<Set<InstanceName>> electors = new LinkedHashSet<>();
        electors.add(mElectors.get());
        electors.addAll(mFormerElectors);
        return electors;
    }

    private void writeJobs(Map<String, byte[]> writes, List<String> removed) {
        long askedNanos = mLoop.nowNanos();
        mStore.commit(
                new StoreTransaction(GUARD_KEY, mGuardRevision, writes, removed),
                unlessEnded(
                        done ->
                                done.peek(revision -> onCommitted(askedNanos))
                                        .peekLeft(this::onCommitFailed)));
    }

    private void onCommitted(long askedNanos) {
        mListener.onConfirmed(askedNanos, Set.copyOf(mRecordedElectors));
        mListener.onCommitted();
    }

    /** Returns the store key of a job. */
    static String storeKey(StoredJob job) {
        return JOBS_PREFIX + job.spec().id().value();
    }

    private void onCommitFailed(StoreFailure failure) {
        if (failure == StoreFailure.REFUSED) {
            mListener.onCommitFailed();
            return;
        }
        renewGuard(mListener::onCommitFailed);
    }

    /**
     * Writes the guard again after a write without an answer, unless another instance has claimed
     * it. A delayed write of the guard by this instance may have changed its revision.
     */
    private void renewGuard(Runnable onWritten) {
        readGuard((revision, holder) -> renewGuard(revision, holder, onWritten));
    }

    private void renewGuard(long revision, KeeperRecord holder, Runnable onWritten) {
        if (!isOwn(holder)) {
            mListener.onTermLost();
            return;
        }
        writeGuard(revision, onWritten, () -> renewGuard(onWritten));
    }

    private boolean isOwn(KeeperRecord holder) {
        return holder.getIncarnation().equals(mSelf.getIncarnation())
                && holder.getGeneration() == mGeneration;
    }

    private void readGuard(GuardHandler handler) {
        mStore.read(
                GUARD_KEY,
                "",
                unlessEnded(
                        page ->
                                page.peek(found -> onGuardPageRead(found, handler))
                                        .peekLeft(
                                                failure -> retryLater(() -> readGuard(handler)))));
    }

    private void onGuardPageRead(StorePage page, GuardHandler handler) {
        for (StoreItem item : page.items()) {
            if (item.key().equals(GUARD_KEY)) {
                KeeperRecord holder =
                        JobRecords.decodeKeeper(item.value())
                                .peekLeft(failure -> logUnreadable(item, failure.detail()))
                                .getOrElse(KeeperRecord.getDefaultInstance());
                handler.onGuardRead(item.revision(), holder);
                return;
            }
        }
        handler.onGuardRead(0, KeeperRecord.getDefaultInstance());
    }

    private void claimGuard(long revision, KeeperRecord holder) {
        mGeneration = holder.getGeneration() + 1;
        // Jobs are written only after the guard, so there are none without it.
        mRecordedJobs = revision == 0 ? KeeperRecord.Jobs.NONE : holder.getJobs();
        boolean hadJobs = mRecordedJobs != KeeperRecord.Jobs.NONE;
        mFormerElectors = hadJobs ? JobRecords.electors(holder) : Set.of();
        writeGuard(revision, this::beginTerm, () -> readGuard(this::claimGuard));
    }

    private void beginTerm() {
        mListener.onTermBegun(mFormerElectors, mRecordedJobs != KeeperRecord.Jobs.NONE);
        readJobs("");
    }

    private void writeGuard(long revision, Runnable onWritten, Runnable onFailure) {
        Set<Set<InstanceName>> electors = electorsToRecord();
        mRecordedElectors.addAll(electors);
        KeeperRecord.Builder record =
                mSelf.toBuilder().setGeneration(mGeneration).setJobs(mRecordedJobs);
        JobRecords.addElectors(record, electors);
        long askedNanos = mLoop.nowNanos();
        byte[] value = record.build().toByteArray();
        mStore.commit(
                new StoreTransaction(GUARD_KEY, revision, Map.of(GUARD_KEY, value), List.of()),
                unlessEnded(
                        done ->
                                done.peek(
                                                newRevision -> {
                                                    mGuardRevision = newRevision;
                                                    mRecordedElectors = electors;
                                                    mListener.onConfirmed(
                                                            askedNanos, Set.copyOf(electors));
                                                    onWritten.run();
                                                })
                                        .peekLeft(failure -> retryLater(onFailure))));
    }

    private void readJobs(String after) {
        mStore.read(
                JOBS_PREFIX,
                after,
                unlessEnded(
                        page ->
                                page.peek(this::onJobsPageRead)
                                        .peekLeft(failure -> retryLater(() -> readJobs(after)))));
    }

    private void onJobsPageRead(StorePage page) {
        for (StoreItem item : page.items()) {
            JobRecords.decode(item.value())
                    .peek(mJobs::add)
                    .peekLeft(failure -> logUnreadable(item, failure.detail()));
        }
        if (page.hasMore() && !page.items().isEmpty()) {
            readJobs(page.items().get(page.items().size() - 1).key());
            return;
        }
        mLog.event(EventName.JOBS_KEPT)
                .with(EventField.COUNT, mJobs.size())
                .with(EventField.VERSION, mGeneration)
                .info();
        mListener.onJobsRead(this, List.copyOf(mJobs));
        mJobs.clear();
    }

    private void logUnreadable(StoreItem item, String detail) {
        mLog.event(EventName.ENTRY_UNREADABLE)
                .with(EventField.RESOURCE, item.key())
                .with(EventField.DETAIL, detail)
                .warn();
    }

    private void retryLater(Runnable action) {
        mLoop.schedule(
                RETRY_MILLIS,
                () -> {
                    if (!mEnded) {
                        action.run();
                    }
                });
    }

    private <T> Consumer<Either<StoreFailure, T>> unlessEnded(
            Consumer<Either<StoreFailure, T>> answer) {
        return result -> {
            if (!mEnded) {
                answer.accept(result);
            }
        };
    }

    /** Is called with the contents of the guard after a read. */
    private interface GuardHandler {

        /**
         * Called with the revision of the guard, 0 if it does not exist, and the coordinator
         * recorded in it.
         */
        void onGuardRead(long revision, KeeperRecord holder);
    }
}
