package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.coordination.ElectorList;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.limits.JobMemory;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.scheduling.JobPhase;
import org.wagtailproxy.scheduling.ServiceScheduler;
import org.wagtailproxy.scheduling.StoredJobScheduling;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.storage.CommitQueue;
import org.wagtailproxy.storage.JobChange;
import org.wagtailproxy.store.VersionedStore;
import org.wagtailproxy.wire.KeeperRecord;
import org.wagtailproxy.workload.JobCondition;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Coordinates the stored jobs of the pool while this instance leads a majority of it: accepts,
 * schedules, cancels and reports them. Confined to the event loop.
 *
 * <p>A job is accepted once it is in the store, and reported in a state once that state is stored.
 * Backend servers list the end (final result) of a task until it is stored.
 */
final class StoredJobCoordinator {

    /**
     * Attempts that may be made at a task within one term; attempt numbers of the next term are
     * higher.
     */
    private static final int MAX_ATTEMPTS_PER_TERM = 256;

    /** Time for which an ended job can be queried; above the two minutes promised to callers. */
    private static final long ENDED_JOB_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(150);

    /** Retry delay reported to callers while no instance coordinates the stored jobs. */
    private static final long RETRY_AFTER_MILLIS = 1000;

    /** Pause before changes whose write has failed are written again. */
    private static final long WRITE_RETRY_MILLIS = 100;

    /**
     * Pause between checks for changes to write; slightly above the pause between writes in {@link
     * CommitQueue}.
     */
    private static final long WRITE_INTERVAL_MILLIS = 6;

    /**
     * Time for which a query for a job whose last tasks run waits for the end of the job to be
     * stored.
     */
    private static final long MAX_QUERY_WAIT_MILLIS = 120;

    /** The answer while the stored jobs take up all memory for them. */
    private static final WorkOutcome MEMORY_FULL =
            WorkOutcome.refused("job memory full", RETRY_AFTER_MILLIS);

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final EventLog mLog;
    private final KeeperRecord mSelf;
    private final Schedulers mSchedulers;
    private final CommitQueue mQueue = new CommitQueue();
    private final StoredJobTable mJobs;
    private final EarlySubmissions mEarlySubmissions = new EarlySubmissions();
    private final ElectorList mElectorList = new ElectorList();
    private final PendingConfirmations mConfirmations;
    private Option<CoordinatorTerm> mTerm = Option.none();
    private TermAuthority mAuthority;
    private Set<InstanceName> mElectors = Set.of();
    private boolean mJobsRead;
    private boolean mLeadsMajority;
    private boolean mWriteScheduled;

    /** Access to the schedulers that run the stored jobs. */
    interface Schedulers {

        /** Returns the monotonic time for an event that may place tasks. */
        long nowForPlacement();

        /** Returns the scheduler of a service. */
        ServiceScheduler forService(ServiceName service);

        /**
         * All stored jobs have been added to their schedulers that had been accepted at a time.
         *
         * @param knownNanos the monotonic time in nanoseconds
         */
        void onStoredJobsRead(long knownNanos);

        /** Jobs of a former coordinator have been added, of which tasks may run anywhere. */
        void onJobsInherited();

        /** Checks whether servers list ends of jobs that may be stored ones not read here. */
        boolean hasUnreadEnds();

        /**
         * No former coordinator starts tasks of stored jobs any more.
         *
         * @param sinceNanos the monotonic time since then, in nanoseconds; {@link
         *     StoredJobScheduling#NOT_ENDED_NANOS} if one may do so again
         */
        void onFormerCoordinatorEnded(long sinceNanos);

        /** Stops and removes all stored jobs in all schedulers. */
        void abandonStoredJobs();

        /** Ticks all schedulers and sends their pending commands. */
        void sendCommands();
    }

    StoredJobCoordinator(
            EventLoop loop,
            VersionedStore store,
            EventLog log,
            DispatcherSettings settings,
            Schedulers schedulers) {
        mLoop = loop;
        mStore = store;
        mLog = log;
        mSelf =
                KeeperRecord.newBuilder()
                        .setName(settings.name().value())
                        .setIncarnation(UUID.randomUUID().toString())
                        .build();
        mJobs =
                new StoredJobTable(
                        JobMemory.of(settings.limits().storedJobMemoryBytes()), this::phase);
        mSchedulers = schedulers;
        mAuthority = newAuthority();
        mConfirmations =
                new PendingConfirmations(loop, () -> mTerm.forEach(CoordinatorTerm::confirm));
    }

    private TermAuthority newAuthority() {
        return new TermAuthority(mLoop, mLog, this::onFormerCoordinatorEnded);
    }

    boolean isCoordinating() {
        return mJobsRead;
    }

    boolean hasJobs() {
        return mJobsRead && !mJobs.isEmpty();
    }

    /**
     * Checks whether tasks of stored jobs may be started, and leases of their runs extended. If
     * not, another instance may coordinate them, or this one does not know whether it does.
     */
    boolean mayRunJobs(long nowNanos) {
        return mJobsRead && mAuthority.isValid(nowNanos);
    }

    /** Checks whether another instance probably coordinates by now, so that nothing can wait. */
    private boolean isReplaceable() {
        return !mLeadsMajority && !mAuthority.isValid(mLoop.nowNanos());
    }

    /** Checks whether the store has not confirmed lately that this instance coordinates. */
    boolean isUnconfirmed() {
        return hasJobs() && !mAuthority.isConfirmedByStore();
    }

    /** Checks whether this instance has a term and no former coordinator starts tasks any more. */
    boolean hasFormerCoordinatorEnded() {
        return mJobsRead && mAuthority.hasFormerEnded();
    }

    /** Starts a term unless one has started. */
    void startTerm() {
        if (mTerm.isEmpty()) {
            mAuthority = newAuthority();
            mSchedulers.onFormerCoordinatorEnded(StoredJobScheduling.NOT_ENDED_NANOS);
            mTerm =
                    Option.some(
                            CoordinatorTerm.start(
                                    mLoop,
                                    mStore,
                                    mLog,
                                    mSelf,
                                    () -> mElectors,
                                    new TermListener(mAuthority)));
        }
    }

    /** Updates the registered instances, from which the electors are taken. */
    void updateInstances(Set<InstanceName> registered) {
        mElectors = mElectorList.update(registered, mLoop.nowNanos());
    }

    /** Records that an elector supports this instance, and when it was asked. */
    void onSupported(InstanceName elector, long askedNanos) {
        mAuthority.onSupported(elector, askedNanos);
    }

    /** Records that this machine may have been suspended; the store is asked before the rest. */
    void onSuspension() {
        mAuthority.onSuspension();
        mConfirmations.request();
    }

    private void onFormerCoordinatorEnded(long sinceNanos) {
        mTerm.forEach(CoordinatorTerm::forgetFormerElectors);
        mSchedulers.onFormerCoordinatorEnded(sinceNanos);
    }

    /** Ends the term and leaves the jobs to the next leader; their runs continue. */
    void handOver() {
        endTerm("no leader");
    }

    private void endTerm(String reason) {
        if (mJobsRead) {
            mLog.event(EventName.JOBS_GIVEN_UP)
                    .with(EventField.COUNT, mJobs.size())
                    .with(EventField.REASON, reason)
                    .info();
        }
        mTerm.forEach(CoordinatorTerm::end);
        mTerm = Option.none();
        mConfirmations.fail();
        mJobsRead = false;
        mQueue.clear();
        for (StoredJobEntry entry : mJobs.removeAll()) {
            // The outstanding write may still succeed, and the next coordinator then runs the job.
            WorkProgress possibleProgress = WorkProgress.NONE.plusAttempts(1);
            entry.mSubmitAnswers.forEach(each -> each.accept(Either.left(possibleProgress)));
            entry.mCancelAnswers.forEach(each -> each.accept(JobCondition.UNAVAILABLE));
        }
        mEarlySubmissions
                .removeAll()
                .forEach(each -> each.answer().accept(Either.left(WorkProgress.NONE)));
    }

    /** Ends the term because another leader may coordinate the jobs; their runs are stopped. */
    void abandon(String reason) {
        if (mTerm.isDefined()) {
            endTerm(reason);
            mSchedulers.abandonStoredJobs();
        }
    }

    /**
     * Stores a job and answers once it is stored, or adds the caller to the job with the same id.
     */
    void submit(
            WorkSpec spec, long arrivedNanos, Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        if (mTerm.isEmpty() || isReplaceable()) {
            answer.accept(Either.right(WorkOutcome.refused("no keeper", RETRY_AFTER_MILLIS)));
            return;
        }
        if (!mJobsRead) {
            if (!mEarlySubmissions.add(
                    new EarlySubmissions.Submission(spec, arrivedNanos, answer), mJobs.memory())) {
                answer.accept(Either.right(MEMORY_FULL));
            }
            return;
        }
        StoredJobEntry existing = mJobs.get(spec.id());
        if (existing != null) {
            if (existing.mSavedState.isDefined()) {
                answer.accept(acceptedOutcome());
            } else {
                existing.mSubmitAnswers.add(answer);
            }
            return;
        }
        Option<Long> retryDelayMillis =
                mSchedulers
                        .forService(spec.service())
                        .storedJobs()
                        .retryDelayIfRefused(spec, arrivedNanos, mLoop.nowNanos());
        if (retryDelayMillis.isDefined()) {
            answer.accept(
                    Either.right(WorkOutcome.refused("no room in time", retryDelayMillis.get())));
            return;
        }
        StoredJobEntry entry = new StoredJobEntry(StoredJob.of(spec));
        if (!mJobs.memory().hasCapacity(entry.mJob.memoryBytes())) {
            answer.accept(Either.right(MEMORY_FULL));
            return;
        }
        entry.mSubmitAnswers.add(answer);
        mJobs.add(entry);
        mQueue.add(new JobChange(entry.mJob, 0, false));
        writePending();
    }

    /** Queues a changed job to be written to the store. */
    void onJobChanged(StoredJob job, long changeNumber) {
        StoredJobEntry entry = mJobs.get(job.spec().id());
        if (entry != null) {
            entry.mJob = job.isEnded() ? job.withoutWork() : job;
            mQueue.add(new JobChange(entry.mJob, changeNumber, false));
            writePending();
        }
    }

    /** Cancels a job; answers once the cancellation is stored. */
    void cancel(JobId id, Consumer<JobCondition> answer) {
        StoredJobEntry entry = mJobs.get(id);
        if (mJobsRead && mJobs.hasSavedEnd(id)) {
            answer.accept(mJobs.condition(id));
            return;
        }
        if (!mJobsRead || isReplaceable()) {
            answer.accept(JobCondition.UNAVAILABLE);
            return;
        }
        if (entry == null) {
            confirmUnknown(id, answer);
            return;
        }
        entry.mCancelAnswers.add(answer);
        if (entry.mJob.isEnded()) {
            return;
        }
        if (entry.mSavedState.isEmpty()) {
            onJobChanged(entry.mJob.withState(StoredJob.State.CANCELLED), 0);
            return;
        }
        mSchedulers
                .forService(entry.mJob.spec().service())
                .storedJobs()
                .cancel(id, mSchedulers.nowForPlacement());
        mSchedulers.sendCommands();
    }

    /**
     * Reports that a job is gone once the store has confirmed, since the request came, that no
     * other instance can have accepted it.
     */
    private void confirmUnknown(JobId id, Consumer<JobCondition> answer) {
        mConfirmations.request(
                isConfirmed ->
                        answer.accept(
                                isConfirmed ? mJobs.condition(id) : JobCondition.UNAVAILABLE));
    }

    /**
     * Runs an action once it is known whether this instance coordinates the stored jobs: at once if
     * its authority is valid, else once the store has confirmed it.
     *
     * @param action receives false if it is not known
     */
    private void whenConfirmed(Consumer<Boolean> action) {
        if (!mJobsRead || isReplaceable()) {
            action.accept(false);
        } else if (mAuthority.isValid(mLoop.nowNanos())) {
            action.accept(true);
        } else {
            mConfirmations.request(action);
        }
    }

    /**
     * Reports the condition of a job. If none of its tasks is waiting any more, its end is likely
     * to come soon and the answer is delayed for a short time.
     */
    void query(JobId id, Consumer<JobCondition> answer) {
        if (mJobsRead && mJobs.hasSavedEnd(id)) {
            answer.accept(mJobs.condition(id));
            return;
        }
        whenConfirmed(
                isConfirmed -> {
                    if (isConfirmed) {
                        queryConfirmed(id, answer);
                    } else {
                        answer.accept(JobCondition.UNAVAILABLE);
                    }
                });
    }

    private void queryConfirmed(JobId id, Consumer<JobCondition> answer) {
        if (mJobs.get(id) == null) {
            confirmUnknown(id, answer);
            return;
        }
        if (!mJobs.isEnding(id)) {
            answer.accept(mJobs.condition(id));
            return;
        }
        StoredJobEntry.WaitingQuery query = new StoredJobEntry.WaitingQuery(answer);
        mJobs.get(id).mWaitingQueries.add(query);
        mLoop.schedule(MAX_QUERY_WAIT_MILLIS, () -> query.answer(currentCondition(id)));
    }

    private JobCondition currentCondition(JobId id) {
        return mJobsRead ? mJobs.condition(id) : JobCondition.UNAVAILABLE;
    }

    private JobPhase phase(StoredJobEntry entry) {
        return mSchedulers.forService(entry.mJob.spec().service()).phase(entry.mJob.spec().id());
    }

    /** Reports the number of accepted, unstarted jobs of a queue, none if it is not known. */
    void countUnstarted(String queue, Consumer<Option<Integer>> answer) {
        whenConfirmed(
                isConfirmed ->
                        answer.accept(Option.when(isConfirmed, () -> mJobs.countUnstarted(queue))));
    }

    /**
     * Removes jobs that ended long ago, and refuses submissions that have waited too long for the
     * stored jobs to be read.
     *
     * @param leadsMajority true if this instance leads a majority
     */
    void tick(boolean leadsMajority) {
        mLeadsMajority = leadsMajority;
        long nowNanos = mLoop.nowNanos();
        for (StoredJobEntry entry : mJobs.all()) {
            boolean ended = entry.mSavedState.exists(state -> state != StoredJob.State.OPEN);
            if (ended && nowNanos - entry.mEndedNanos > ENDED_JOB_RETENTION_NANOS) {
                entry.mEndedNanos = nowNanos;
                mQueue.add(new JobChange(entry.mJob, 0, true));
            }
        }
        WorkOutcome notRead = WorkOutcome.refused("jobs not read", RETRY_AFTER_MILLIS);
        mEarlySubmissions
                .removeOverdue(nowNanos)
                .forEach(each -> each.answer().accept(Either.right(notRead)));
        writePending();
        if (mJobsRead && mJobs.isEmpty()) {
            mTerm.forEach(CoordinatorTerm::recordNoJobs);
        }
        confirmAuthority();
    }

    private void confirmAuthority() {
        mAuthority.tick(hasJobs());
        if (hasJobs() || mJobsRead && mSchedulers.hasUnreadEnds()) {
            mConfirmations.tick();
        }
        if (hasJobs() && !mQueue.isWriting()) {
            mTerm.forEach(CoordinatorTerm::updateElectors);
        }
    }

    private static Either<WorkProgress, WorkOutcome> acceptedOutcome() {
        return Either.right(WorkOutcome.of(WorkOutcome.Kind.ACCEPTED, "stored"));
    }

    private void writePending() {
        if (!mJobsRead || mWriteScheduled) {
            return;
        }
        mQueue.nextBatch(mLoop.nowNanos()).forEach(this::writeBatch);
        if (mQueue.hasPending()) {
            mWriteScheduled = true;
            mLoop.schedule(
                    WRITE_INTERVAL_MILLIS,
                    () -> {
                        mWriteScheduled = false;
                        writePending();
                    });
        }
    }

    private void writeBatch(List<JobChange> changes) {
        Map<String, byte[]> writes = new HashMap<>();
        List<String> removed = new ArrayList<>();
        for (JobChange change : changes) {
            if (change.removed()) {
                removed.add(CoordinatorTerm.storeKey(change.job()));
            } else {
                writes.put(CoordinatorTerm.storeKey(change.job()), JobRecords.encode(change.job()));
            }
        }
        mTerm.forEach(term -> term.commit(writes, removed));
    }

    private void onSaved(JobChange change) {
        JobId id = change.job().spec().id();
        StoredJobEntry entry = mJobs.get(id);
        if (change.removed()) {
            mJobs.remove(id);
            return;
        }
        mLog.event(EventName.JOB_SAVED)
                .with(EventField.JOB, id)
                .with(EventField.OUTCOME, change.job().state())
                .with(EventField.COUNT, change.job().done().size())
                .info();
        boolean isFirstSave = entry.mSavedState.isEmpty();
        entry.mSavedState = Option.some(change.job().state());
        ServiceScheduler scheduler = mSchedulers.forService(change.job().spec().service());
        if (change.job().isEnded()) {
            entry.mEndedNanos = mLoop.nowNanos();
            mJobs.updateMemory(entry);
            entry.mCancelAnswers.forEach(answer -> answer.accept(mJobs.condition(id)));
            entry.mCancelAnswers.clear();
            entry.mWaitingQueries.forEach(query -> query.answer(mJobs.condition(id)));
            entry.mWaitingQueries.clear();
        } else if (isFirstSave && !entry.mJob.isEnded()) {
            scheduler.storedJobs().add(change.job(), 0, mSchedulers.nowForPlacement());
        }
        scheduler.storedJobs().onSaved(id, change.changeNumber());
        entry.mSubmitAnswers.forEach(answer -> answer.accept(acceptedOutcome()));
        entry.mSubmitAnswers.clear();
    }

    /** Reacts to the events of the current term. */
    private final class TermListener implements CoordinatorTerm.Listener {

        private final TermAuthority mTermAuthority;

        private TermListener(TermAuthority termAuthority) {
            mTermAuthority = termAuthority;
        }

        @Override
        public void onTermBegun(Set<Set<InstanceName>> formerElectors, boolean storedJobsPossible) {
            mTermAuthority.begin(formerElectors, storedJobsPossible);
        }

        @Override
        public void onConfirmed(long askedNanos, Set<Set<InstanceName>> electors) {
            boolean wasValid = mTermAuthority.isValid(mLoop.nowNanos());
            mTermAuthority.onConfirmed(askedNanos, electors);
            mConfirmations.onResult(askedNanos, true);
            if (!mJobsRead) {
                return;
            }
            mSchedulers.onStoredJobsRead(askedNanos);
            if (!wasValid) {
                mSchedulers.sendCommands();
            }
        }

        @Override
        public void onNotConfirmed(long askedNanos) {
            mConfirmations.onResult(askedNanos, false);
        }

        @Override
        public void onJobsRead(CoordinatorTerm term, List<StoredJob> jobs) {
            mJobsRead = true;
            int attempt = Math.toIntExact(term.generation() * MAX_ATTEMPTS_PER_TERM);
            for (StoredJob job : jobs) {
                StoredJobEntry entry = new StoredJobEntry(job.isEnded() ? job.withoutWork() : job);
                entry.mSavedState = Option.some(job.state());
                entry.mEndedNanos = mLoop.nowNanos();
                mJobs.add(entry);
            }
            for (StoredJob job : jobs) {
                if (!job.isEnded()) {
                    mSchedulers
                            .forService(job.spec().service())
                            .storedJobs()
                            .add(job, attempt, mSchedulers.nowForPlacement());
                }
            }
            mSchedulers.onStoredJobsRead(mTermAuthority.confirmedNanos());
            mSchedulers.onJobsInherited();
            mEarlySubmissions
                    .removeAll()
                    .forEach(each -> submit(each.spec(), each.arrivedNanos(), each.answer()));
            mSchedulers.sendCommands();
        }

        @Override
        public void onCommitted() {
            mQueue.completeBatch().forEach(StoredJobCoordinator.this::onSaved);
            mSchedulers.sendCommands();
            writePending();
        }

        @Override
        public void onCommitFailed() {
            mQueue.requeueBatch(WRITE_RETRY_MILLIS, mLoop.nowNanos());
            writePending();
        }

        @Override
        public void onTermLost() {
            abandon("another coordinator");
        }
    }
}
