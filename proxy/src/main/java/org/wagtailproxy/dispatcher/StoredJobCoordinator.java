package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.limits.JobMemory;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.scheduling.JobPhase;
import org.wagtailproxy.scheduling.ServiceScheduler;
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

    /**
     * Time for which a submission waits until the stored jobs are read; it is refused after that.
     */
    private static final long MAX_WAIT_FOR_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

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
    private final Map<JobId, StoredJobEntry> mEntries = new HashMap<>();
    private final List<EarlySubmission> mEarlySubmissions = new ArrayList<>();
    private Option<CoordinatorTerm> mTerm = Option.none();
    private boolean mJobsRead;
    private boolean mWriteScheduled;
    private final JobMemory mMemory;

    /** Access to the schedulers that run the stored jobs. */
    interface Schedulers {

        /** Returns the monotonic time for an event that may place tasks. */
        long nowForPlacement();

        /** Returns the scheduler of a service. */
        ServiceScheduler forService(ServiceName service);

        /** All stored jobs have been read and added to their schedulers. */
        void onStoredJobsRead();

        /** Stops and removes all stored jobs in all schedulers. */
        void abandonStoredJobs();

        /** Ticks all schedulers and sends their pending commands. */
        void sendCommands();
    }

    /** A job that was submitted before the stored jobs were read. */
    private record EarlySubmission(
            WorkSpec spec, long arrivedNanos, Consumer<Either<WorkProgress, WorkOutcome>> answer) {}

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
        mMemory = JobMemory.of(settings.limits().storedJobMemoryBytes());
        mSchedulers = schedulers;
    }

    boolean isCoordinating() {
        return mJobsRead;
    }

    boolean hasJobs() {
        return mJobsRead && !mEntries.isEmpty();
    }

    /** Starts a term unless one has started. */
    void startTerm() {
        if (mTerm.isEmpty()) {
            mTerm =
                    Option.some(
                            CoordinatorTerm.start(mLoop, mStore, mLog, mSelf, new TermListener()));
        }
    }

    /** Ends the term and leaves the jobs to the next leader; their runs continue. */
    void handOver() {
        endTerm("no leader");
    }

    private void endTerm(String reason) {
        if (mJobsRead) {
            mLog.event(EventName.JOBS_GIVEN_UP)
                    .with(EventField.COUNT, mEntries.size())
                    .with(EventField.REASON, reason)
                    .info();
        }
        mTerm.forEach(CoordinatorTerm::end);
        mTerm = Option.none();
        mJobsRead = false;
        mQueue.clear();
        List<StoredJobEntry> entries = new ArrayList<>(mEntries.values());
        mEntries.clear();
        mMemory.release(mMemory.usedBytes());
        for (StoredJobEntry entry : entries) {
            // The outstanding write may still succeed, and the next coordinator then runs the job.
            WorkProgress possibleProgress = WorkProgress.NONE.plusAttempts(1);
            entry.mSubmitAnswers.forEach(each -> each.accept(Either.left(possibleProgress)));
            entry.mCancelAnswers.forEach(each -> each.accept(JobCondition.UNAVAILABLE));
        }
        List<EarlySubmission> submissions = List.copyOf(mEarlySubmissions);
        mEarlySubmissions.clear();
        submissions.forEach(each -> each.answer().accept(Either.left(WorkProgress.NONE)));
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
        if (mTerm.isEmpty()) {
            answer.accept(Either.right(WorkOutcome.refused("no keeper", RETRY_AFTER_MILLIS)));
            return;
        }
        if (!mJobsRead) {
            submitEarly(new EarlySubmission(spec, arrivedNanos, answer));
            return;
        }
        StoredJobEntry existing = mEntries.get(spec.id());
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
        if (!mMemory.hasCapacity(entry.mJob.memoryBytes())) {
            answer.accept(Either.right(MEMORY_FULL));
            return;
        }
        entry.mSubmitAnswers.add(answer);
        addEntry(entry);
        mQueue.add(new JobChange(entry.mJob, 0, false));
        writePending();
    }

    /** Keeps a submission until the stored jobs are read. */
    private void submitEarly(EarlySubmission submission) {
        long bytes = submission.spec().memoryBytes();
        for (EarlySubmission other : mEarlySubmissions) {
            bytes += other.spec().memoryBytes();
        }
        if (mMemory.hasCapacity(bytes)) {
            mEarlySubmissions.add(submission);
        } else {
            submission.answer().accept(Either.right(MEMORY_FULL));
        }
    }

    private void addEntry(StoredJobEntry entry) {
        mEntries.put(entry.mJob.spec().id(), entry);
        countMemory(entry, entry.mJob.memoryBytes());
    }

    private void countMemory(StoredJobEntry entry, long bytes) {
        mMemory.release(entry.mMemoryBytes);
        mMemory.add(bytes);
        entry.mMemoryBytes = bytes;
    }

    /** Queues a changed job to be written to the store. */
    void onJobChanged(StoredJob job, long changeNumber) {
        StoredJobEntry entry = mEntries.get(job.spec().id());
        if (entry != null) {
            entry.mJob = job.isEnded() ? job.withoutWork() : job;
            mQueue.add(new JobChange(entry.mJob, changeNumber, false));
            writePending();
        }
    }

    /** Cancels a job; answers once the cancellation is stored. */
    void cancel(JobId id, Consumer<JobCondition> answer) {
        StoredJobEntry entry = mEntries.get(id);
        if (!mJobsRead || entry == null) {
            answer.accept(mJobsRead ? JobCondition.GONE : JobCondition.UNAVAILABLE);
            return;
        }
        if (entry.mSavedState.exists(state -> state != StoredJob.State.OPEN)) {
            answer.accept(condition(id));
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
     * Reports the condition of a job. If none of its tasks is waiting any more, its end is likely
     * to come soon and the answer is delayed for a short time.
     */
    void query(JobId id, Consumer<JobCondition> answer) {
        StoredJobEntry entry = mEntries.get(id);
        // A job that its scheduler does not know any more has ended.
        boolean ending = condition(id) == JobCondition.RUNNING && phase(entry) != JobPhase.BEGUN;
        if (!ending) {
            answer.accept(condition(id));
            return;
        }
        StoredJobEntry.WaitingQuery query = new StoredJobEntry.WaitingQuery(answer);
        entry.mWaitingQueries.add(query);
        mLoop.schedule(MAX_QUERY_WAIT_MILLIS, () -> query.answer(condition(id)));
    }

    /** Returns the current condition of a job. */
    private JobCondition condition(JobId id) {
        if (!mJobsRead) {
            return JobCondition.UNAVAILABLE;
        }
        StoredJobEntry entry = mEntries.get(id);
        if (entry == null || entry.mSavedState.isEmpty()) {
            return entry == null ? JobCondition.GONE : JobCondition.UNAVAILABLE;
        }
        return switch (entry.mSavedState.get()) {
            case COMPLETE -> JobCondition.COMPLETE;
            case FAILED -> JobCondition.FAILED;
            case CANCELLED -> JobCondition.CANCELLED;
            case OPEN ->
                    phase(entry) == JobPhase.WAITING ? JobCondition.QUEUED : JobCondition.RUNNING;
        };
    }

    private JobPhase phase(StoredJobEntry entry) {
        return mSchedulers.forService(entry.mJob.spec().service()).phase(entry.mJob.spec().id());
    }

    /** Returns the number of accepted, unstarted jobs of a queue. */
    int countUnstarted(String queue) {
        int pending = 0;
        for (Map.Entry<JobId, StoredJobEntry> each : mEntries.entrySet()) {
            boolean isInQueue = each.getValue().mJob.spec().storedIn().equals(queue);
            pending += isInQueue && condition(each.getKey()) == JobCondition.QUEUED ? 1 : 0;
        }
        return pending;
    }

    /**
     * Removes jobs that ended long ago, and refuses submissions that have waited too long for the
     * stored jobs to be read.
     */
    void tick() {
        long nowNanos = mLoop.nowNanos();
        for (StoredJobEntry entry : mEntries.values()) {
            boolean ended = entry.mSavedState.exists(state -> state != StoredJob.State.OPEN);
            if (ended && nowNanos - entry.mEndedNanos > ENDED_JOB_RETENTION_NANOS) {
                entry.mEndedNanos = nowNanos;
                mQueue.add(new JobChange(entry.mJob, 0, true));
            }
        }
        for (EarlySubmission submission : List.copyOf(mEarlySubmissions)) {
            if (nowNanos - submission.arrivedNanos() > MAX_WAIT_FOR_READ_NANOS) {
                mEarlySubmissions.remove(submission);
                submission
                        .answer()
                        .accept(
                                Either.right(
                                        WorkOutcome.refused("jobs not read", RETRY_AFTER_MILLIS)));
            }
        }
        writePending();
        if (mJobsRead && mEntries.isEmpty()) {
            mTerm.forEach(CoordinatorTerm::recordNoJobs);
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
        StoredJobEntry entry = mEntries.get(id);
        if (change.removed()) {
            mMemory.release(mEntries.remove(id).mMemoryBytes);
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
            countMemory(entry, entry.mJob.memoryBytes());
            entry.mCancelAnswers.forEach(answer -> answer.accept(condition(id)));
            entry.mCancelAnswers.clear();
            entry.mWaitingQueries.forEach(query -> query.answer(condition(id)));
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

        @Override
        public void onJobsRead(CoordinatorTerm term, List<StoredJob> jobs) {
            mJobsRead = true;
            int attempt = Math.toIntExact(term.generation() * MAX_ATTEMPTS_PER_TERM);
            for (StoredJob job : jobs) {
                StoredJobEntry entry = new StoredJobEntry(job.isEnded() ? job.withoutWork() : job);
                entry.mSavedState = Option.some(job.state());
                entry.mEndedNanos = mLoop.nowNanos();
                addEntry(entry);
            }
            for (StoredJob job : jobs) {
                if (!job.isEnded()) {
                    mSchedulers
                            .forService(job.spec().service())
                            .storedJobs()
                            .add(job, attempt, mSchedulers.nowForPlacement());
                }
            }
            mSchedulers.onStoredJobsRead();
            List<EarlySubmission> submissions = List.copyOf(mEarlySubmissions);
            mEarlySubmissions.clear();
            submissions.forEach(each -> submit(each.spec(), each.arrivedNanos(), each.answer()));
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
