package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.identity.ServiceName;
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
 * Keeps the stored jobs of the pool while this instance leads its majority. Confined to the event
 * loop.
 *
 * <p>A job is accepted once it is in the store, and shown in a state once that is there. Ends of
 * tasks stay in the backend servers' lists until the store has them.
 */
final class StoredJobCoordinator {

    /** Attempts that one keeper may make at a task; the next one's exceed them. */
    private static final int MAX_ATTEMPTS_PER_TERM = 64;

    /** How long an ended job can be asked for; above the two minutes that callers are promised. */
    private static final long ENDED_JOB_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(150);

    /** Time in which a store that is reached answers the three calls that begin a term. */
    private static final long FIRST_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** How long a job waits for the jobs to be read before it is refused. */
    private static final long MAX_WAIT_FOR_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** When a caller is told to come back while nobody keeps jobs. */
    private static final long RETRY_AFTER_MILLIS = 1000;

    /** Pause before changes that the store turned away are written again. */
    private static final long WRITE_RETRY_MILLIS = 100;

    /** Pause of the queue between writes, and a little more. */
    private static final long WRITE_INTERVAL_MILLIS = 6;

    /** How long a question for a job whose last tasks run waits for its end to be stored. */
    private static final long MAX_QUERY_WAIT_MILLIS = 120;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final EventLog mLog;
    private final KeeperRecord mSelf;
    private final Schedulers mSchedulers;
    private final CommitQueue mQueue = new CommitQueue();
    private final Map<JobId, StoredJobEntry> mEntries = new HashMap<>();
    private final List<EarlySubmission> mEarlySubmissions = new ArrayList<>();
    private Option<CoordinatorTerm> mTerm = Option.none();
    private long mTermStartNanos;
    private boolean mJobsRead;
    private boolean mWriteScheduled;

    /** Gives the schedulers that run the jobs. */
    interface Schedulers {

        /** Returns the scheduler of a service. */
        ServiceScheduler forService(ServiceName service);

        /** Takes note that all stored jobs are known. */
        void onStoredJobsRead();

        /** Stops and forgets all stored jobs. */
        void abandonStoredJobs();

        /** Sends the orders that wait. */
        void sendCommands();
    }

    /** A job that came while the jobs were being read. */
    private record EarlySubmission(
            WorkSpec spec, long arrivedNanos, Consumer<Either<WorkProgress, WorkOutcome>> answer) {}

    StoredJobCoordinator(
            EventLoop loop,
            VersionedStore store,
            EventLog log,
            KeeperRecord self,
            Schedulers schedulers) {
        mLoop = loop;
        mStore = store;
        mLog = log;
        mSelf = self;
        mSchedulers = schedulers;
    }

    boolean isCoordinating() {
        return mJobsRead;
    }

    /** Tests whether the jobs are being read for the first time and an answer may come soon. */
    boolean isReading() {
        boolean isRecent = mLoop.nowNanos() - mTermStartNanos < FIRST_READ_NANOS;
        return mTerm.isDefined() && !mJobsRead && isRecent;
    }

    boolean hasJobs() {
        return mJobsRead && !mEntries.isEmpty();
    }

    /** Begins to keep the jobs. */
    void startTerm() {
        if (mTerm.isEmpty()) {
            mTermStartNanos = mLoop.nowNanos();
            mTerm =
                    Option.some(
                            CoordinatorTerm.start(mLoop, mStore, mLog, mSelf, new TermListener()));
        }
    }

    /** Leaves the jobs to the next leader; what runs goes on. */
    void handOver() {
        if (mJobsRead) {
            mLog.event(EventName.JOBS_GIVEN_UP).with(EventField.COUNT, mEntries.size()).info();
        }
        mTerm.forEach(CoordinatorTerm::end);
        mTerm = Option.none();
        mJobsRead = false;
        mQueue.clear();
        List<StoredJobEntry> entries = new ArrayList<>(mEntries.values());
        mEntries.clear();
        for (StoredJobEntry entry : entries) {
            // The write that is under way may still be done, and the job run by the next keeper.
            WorkProgress possibleProgress = WorkProgress.NONE.plusAttempts(1);
            entry.mSubmitAnswers.forEach(each -> each.accept(Either.left(possibleProgress)));
            entry.mCancelAnswers.forEach(each -> each.accept(JobCondition.UNAVAILABLE));
        }
        List<EarlySubmission> early = List.copyOf(mEarlySubmissions);
        mEarlySubmissions.clear();
        early.forEach(each -> each.answer().accept(Either.left(WorkProgress.NONE)));
    }

    /** Gives the jobs up because another leader may keep them; what runs is stopped. */
    void abandon() {
        if (mTerm.isDefined()) {
            handOver();
            mSchedulers.abandonStoredJobs();
        }
    }

    /** Takes a job in, or joins the one of the same id. */
    void submit(
            WorkSpec spec, long arrivedNanos, Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        if (mTerm.isEmpty()) {
            answer.accept(Either.right(WorkOutcome.refused("no keeper", RETRY_AFTER_MILLIS)));
            return;
        }
        if (!mJobsRead) {
            mEarlySubmissions.add(new EarlySubmission(spec, arrivedNanos, answer));
            return;
        }
        StoredJobEntry known = mEntries.get(spec.id());
        if (known != null) {
            if (known.mSavedState.isDefined()) {
                answer.accept(acceptedOutcome());
            } else {
                known.mSubmitAnswers.add(answer);
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
        entry.mSubmitAnswers.add(answer);
        mEntries.put(spec.id(), entry);
        mQueue.add(new JobChange(entry.mJob, 0, false));
        writePending();
    }

    /** Saves a change of a job. */
    void onJobChanged(StoredJob job, long change) {
        StoredJobEntry entry = mEntries.get(job.spec().id());
        if (entry != null) {
            entry.mJob = job;
            mQueue.add(new JobChange(job, change, false));
            writePending();
        }
    }

    /** Cancels a job; answers once the store has it. */
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
        if (entry.mJob.ended()) {
            return;
        }
        if (entry.mSavedState.isEmpty()) {
            onJobChanged(entry.mJob.withState(StoredJob.State.CANCELLED), 0);
            return;
        }
        mSchedulers
                .forService(entry.mJob.spec().service())
                .storedJobs()
                .cancel(id, mLoop.nowNanos());
        mSchedulers.sendCommands();
    }

    /**
     * Tells where a job stands. If nothing of it waits any more, its end is likely to come soon and
     * the answer waits a short time for it.
     */
    void query(JobId id, Consumer<JobCondition> answer) {
        StoredJobEntry entry = mEntries.get(id);
        // The job has ended if its scheduler knows no more of it.
        boolean ending = condition(id) == JobCondition.RUNNING && phase(entry) != JobPhase.BEGUN;
        if (!ending) {
            answer.accept(condition(id));
            return;
        }
        StoredJobEntry.WaitingQuery query = new StoredJobEntry.WaitingQuery(answer);
        entry.mWaitingQueries.add(query);
        mLoop.later(MAX_QUERY_WAIT_MILLIS, () -> query.answer(condition(id)));
    }

    /** Tells where a job stands now. */
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

    /** Counts the accepted jobs of a queue that have not begun. */
    int countUnstarted(String queue) {
        int pending = 0;
        for (Map.Entry<JobId, StoredJobEntry> each : mEntries.entrySet()) {
            boolean isInQueue = each.getValue().mJob.spec().storedIn().equals(queue);
            pending += isInQueue && condition(each.getKey()) == JobCondition.QUEUED ? 1 : 0;
        }
        return pending;
    }

    /** Removes jobs that ended long ago, and refuses those that have waited too long. */
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
            mLoop.later(
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
            mEntries.remove(id);
            return;
        }
        mLog.event(EventName.JOB_SAVED)
                .with(EventField.JOB, id)
                .with(EventField.OUTCOME, change.job().state())
                .with(EventField.COUNT, change.job().done().size())
                .info();
        boolean first = entry.mSavedState.isEmpty();
        entry.mSavedState = Option.some(change.job().state());
        ServiceScheduler scheduler = mSchedulers.forService(change.job().spec().service());
        if (change.job().ended()) {
            entry.mEndedNanos = mLoop.nowNanos();
            entry.mCancelAnswers.forEach(answer -> answer.accept(condition(id)));
            entry.mCancelAnswers.clear();
            entry.mWaitingQueries.forEach(query -> query.answer(condition(id)));
            entry.mWaitingQueries.clear();
        } else if (first && !entry.mJob.ended()) {
            scheduler.storedJobs().add(change.job(), 0, mLoop.nowNanos());
        }
        scheduler.storedJobs().onSaved(id, change.change());
        entry.mSubmitAnswers.forEach(answer -> answer.accept(acceptedOutcome()));
        entry.mSubmitAnswers.clear();
    }

    /** Takes part in what becomes of the term. */
    private final class TermListener implements CoordinatorTerm.Listener {

        @Override
        public void onJobsRead(CoordinatorTerm term, List<StoredJob> jobs) {
            mJobsRead = true;
            int attempt = Math.toIntExact(term.generation() * MAX_ATTEMPTS_PER_TERM);
            for (StoredJob job : jobs) {
                StoredJobEntry entry = new StoredJobEntry(job);
                entry.mSavedState = Option.some(job.state());
                entry.mEndedNanos = mLoop.nowNanos();
                mEntries.put(job.spec().id(), entry);
            }
            for (StoredJob job : jobs) {
                if (!job.ended()) {
                    mSchedulers
                            .forService(job.spec().service())
                            .storedJobs()
                            .add(job, attempt, mLoop.nowNanos());
                }
            }
            mSchedulers.onStoredJobsRead();
            List<EarlySubmission> early = List.copyOf(mEarlySubmissions);
            mEarlySubmissions.clear();
            early.forEach(each -> submit(each.spec(), each.arrivedNanos(), each.answer()));
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
            abandon();
        }
    }
}
