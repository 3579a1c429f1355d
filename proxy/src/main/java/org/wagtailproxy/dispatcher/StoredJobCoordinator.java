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
    private static final int ATTEMPTS_OF_A_KEEPER = 64;

    /** How long an ended job can be asked for; above the two minutes that callers are promised. */
    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(150);

    /** Time in which a store that is reached answers the three calls that begin a term. */
    private static final long READ_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** How long a job waits for the jobs to be read before it is refused. */
    private static final long LONGEST_EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** When a caller is told to come back while nobody keeps jobs. */
    private static final long RETRY_MILLIS = 1000;

    /** Pause before changes that the store turned away are written again. */
    private static final long WRITE_AGAIN_MILLIS = 100;

    /** Pause of the queue between writes, and a little more. */
    private static final long FLUSH_AGAIN_MILLIS = 6;

    /** How long a question for a job whose last tasks run waits for its end to be stored. */
    private static final long ASKED_WAIT_MILLIS = 120;

    private final EventLoop mLoop;
    private final VersionedStore mStore;
    private final EventLog mLog;
    private final KeeperRecord mSelf;
    private final Schedulers mSchedulers;
    private final CommitQueue mQueue = new CommitQueue();
    private final Map<JobId, StoredJobEntry> mEntries = new HashMap<>();
    private final List<Early> mEarly = new ArrayList<>();
    private Option<CoordinatorTerm> mTerm = Option.none();
    private long mBeginNanos;
    private boolean mBegan;
    private boolean mFlushing;

    /** Gives the schedulers that run the jobs. */
    interface Schedulers {

        /** Returns the scheduler of a service. */
        ServiceScheduler of(ServiceName service);

        /** Takes note that all stored jobs are known. */
        void storedJobsRead();

        /** Stops and forgets all stored jobs. */
        void giveUpStoredJobs();

        /** Sends the orders that wait. */
        void flush();
    }

    /** A job that came while the jobs were being read. */
    private record Early(
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

    boolean keeps() {
        return mBegan;
    }

    /** Tests whether the jobs are being read for the first time and an answer may come soon. */
    boolean isReading() {
        boolean soon = mLoop.nowNanos() - mBeginNanos < READ_NANOS;
        return mTerm.isDefined() && !mBegan && soon;
    }

    boolean keepsAny() {
        return mBegan && !mEntries.isEmpty();
    }

    /** Begins to keep the jobs. */
    void begin() {
        if (mTerm.isEmpty()) {
            mBeginNanos = mLoop.nowNanos();
            mTerm =
                    Option.some(
                            CoordinatorTerm.begin(mLoop, mStore, mLog, mSelf, new TermEvents()));
        }
    }

    /** Leaves the jobs to the next leader; what runs goes on. */
    void handOver() {
        if (mBegan) {
            mLog.event(EventName.JOBS_GIVEN_UP).with(EventField.COUNT, mEntries.size()).info();
        }
        mTerm.forEach(CoordinatorTerm::end);
        mTerm = Option.none();
        mBegan = false;
        mQueue.clear();
        List<StoredJobEntry> entries = new ArrayList<>(mEntries.values());
        mEntries.clear();
        for (StoredJobEntry entry : entries) {
            // The write that is under way may still be done, and the job run by the next keeper.
            WorkProgress maybe = WorkProgress.NONE.plusAttempts(1);
            entry.mAcceptors.forEach(each -> each.accept(Either.left(maybe)));
            entry.mCancels.forEach(each -> each.accept(JobCondition.UNAVAILABLE));
        }
        List<Early> early = List.copyOf(mEarly);
        mEarly.clear();
        early.forEach(each -> each.answer().accept(Either.left(WorkProgress.NONE)));
    }

    /** Gives the jobs up because another leader may keep them; what runs is stopped. */
    void giveUp() {
        if (mTerm.isDefined()) {
            handOver();
            mSchedulers.giveUpStoredJobs();
        }
    }

    /** Takes a job in, or joins the one of the same id. */
    void accept(
            WorkSpec spec, long arrivedNanos, Consumer<Either<WorkProgress, WorkOutcome>> answer) {
        if (mTerm.isEmpty()) {
            answer.accept(Either.right(WorkOutcome.refused("no keeper", RETRY_MILLIS)));
            return;
        }
        if (!mBegan) {
            mEarly.add(new Early(spec, arrivedNanos, answer));
            return;
        }
        StoredJobEntry known = mEntries.get(spec.id());
        if (known != null) {
            if (known.mSaved.isDefined()) {
                answer.accept(accepted());
            } else {
                known.mAcceptors.add(answer);
            }
            return;
        }
        Option<Long> refusal =
                mSchedulers
                        .of(spec.service())
                        .storedJobs()
                        .retryDelayIfRefused(spec, arrivedNanos, mLoop.nowNanos());
        if (refusal.isDefined()) {
            answer.accept(Either.right(WorkOutcome.refused("no room in time", refusal.get())));
            return;
        }
        StoredJobEntry entry = new StoredJobEntry(StoredJob.of(spec));
        entry.mAcceptors.add(answer);
        mEntries.put(spec.id(), entry);
        mQueue.add(new JobChange(entry.mJob, 0, false));
        flush();
    }

    /** Saves a change of a job. */
    void changed(StoredJob job, long change) {
        StoredJobEntry entry = mEntries.get(job.spec().id());
        if (entry != null) {
            entry.mJob = job;
            mQueue.add(new JobChange(job, change, false));
            flush();
        }
    }

    /** Cancels a job; answers once the store has it. */
    void cancel(JobId id, Consumer<JobCondition> answer) {
        StoredJobEntry entry = mEntries.get(id);
        if (!mBegan || entry == null) {
            answer.accept(mBegan ? JobCondition.GONE : JobCondition.UNAVAILABLE);
            return;
        }
        if (entry.mSaved.exists(state -> state != StoredJob.State.OPEN)) {
            answer.accept(condition(id));
            return;
        }
        entry.mCancels.add(answer);
        if (entry.mJob.ended()) {
            return;
        }
        if (entry.mSaved.isEmpty()) {
            changed(entry.mJob.withState(StoredJob.State.CANCELLED), 0);
            return;
        }
        mSchedulers.of(entry.mJob.spec().service()).storedJobs().cancel(id, mLoop.nowNanos());
        mSchedulers.flush();
    }

    /**
     * Tells where a job stands. If nothing of it waits any more, its end is likely to come soon and
     * the answer waits a short time for it.
     */
    void ask(JobId id, Consumer<JobCondition> answer) {
        StoredJobEntry entry = mEntries.get(id);
        // The job has ended if its scheduler knows no more of it.
        boolean ending = condition(id) == JobCondition.RUNNING && phase(entry) != JobPhase.BEGUN;
        if (!ending) {
            answer.accept(condition(id));
            return;
        }
        StoredJobEntry.Question question = new StoredJobEntry.Question(answer);
        entry.mQuestions.add(question);
        mLoop.later(ASKED_WAIT_MILLIS, () -> question.answer(condition(id)));
    }

    /** Tells where a job stands now. */
    private JobCondition condition(JobId id) {
        if (!mBegan) {
            return JobCondition.UNAVAILABLE;
        }
        StoredJobEntry entry = mEntries.get(id);
        if (entry == null || entry.mSaved.isEmpty()) {
            return entry == null ? JobCondition.GONE : JobCondition.UNAVAILABLE;
        }
        return switch (entry.mSaved.get()) {
            case COMPLETE -> JobCondition.COMPLETE;
            case FAILED -> JobCondition.FAILED;
            case CANCELLED -> JobCondition.CANCELLED;
            case OPEN ->
                    phase(entry) == JobPhase.WAITING ? JobCondition.QUEUED : JobCondition.RUNNING;
        };
    }

    private JobPhase phase(StoredJobEntry entry) {
        return mSchedulers.of(entry.mJob.spec().service()).phase(entry.mJob.spec().id());
    }

    /** Counts the accepted jobs of a queue that have not begun. */
    int pending(String queue) {
        int pending = 0;
        for (Map.Entry<JobId, StoredJobEntry> each : mEntries.entrySet()) {
            boolean of = each.getValue().mJob.spec().storedIn().equals(queue);
            pending += of && condition(each.getKey()) == JobCondition.QUEUED ? 1 : 0;
        }
        return pending;
    }

    /** Removes jobs that ended long ago, and refuses those that have waited too long. */
    void tick() {
        long nowNanos = mLoop.nowNanos();
        for (StoredJobEntry entry : mEntries.values()) {
            boolean ended = entry.mSaved.exists(state -> state != StoredJob.State.OPEN);
            if (ended && nowNanos - entry.mEndedNanos > KEPT_NANOS) {
                entry.mEndedNanos = nowNanos;
                mQueue.add(new JobChange(entry.mJob, 0, true));
            }
        }
        for (Early early : List.copyOf(mEarly)) {
            if (nowNanos - early.arrivedNanos() > LONGEST_EARLY_NANOS) {
                mEarly.remove(early);
                early.answer()
                        .accept(Either.right(WorkOutcome.refused("jobs not read", RETRY_MILLIS)));
            }
        }
        flush();
    }

    private static Either<WorkProgress, WorkOutcome> accepted() {
        return Either.right(WorkOutcome.of(WorkOutcome.Kind.ACCEPTED, "stored"));
    }

    private void flush() {
        if (!mBegan || mFlushing) {
            return;
        }
        mQueue.nextBatch(mLoop.nowNanos()).forEach(this::write);
        if (mQueue.hasPending()) {
            mFlushing = true;
            mLoop.later(
                    FLUSH_AGAIN_MILLIS,
                    () -> {
                        mFlushing = false;
                        flush();
                    });
        }
    }

    private void write(List<JobChange> changes) {
        Map<String, byte[]> writes = new HashMap<>();
        List<String> removed = new ArrayList<>();
        for (JobChange change : changes) {
            if (change.removed()) {
                removed.add(CoordinatorTerm.key(change.job()));
            } else {
                writes.put(CoordinatorTerm.key(change.job()), JobRecords.encode(change.job()));
            }
        }
        mTerm.forEach(term -> term.commit(writes, removed));
    }

    private void saved(JobChange change) {
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
        boolean first = entry.mSaved.isEmpty();
        entry.mSaved = Option.some(change.job().state());
        ServiceScheduler scheduler = mSchedulers.of(change.job().spec().service());
        if (change.job().ended()) {
            entry.mEndedNanos = mLoop.nowNanos();
            entry.mCancels.forEach(answer -> answer.accept(condition(id)));
            entry.mCancels.clear();
            entry.mQuestions.forEach(question -> question.answer(condition(id)));
            entry.mQuestions.clear();
        } else if (first && !entry.mJob.ended()) {
            scheduler.storedJobs().add(change.job(), 0, mLoop.nowNanos());
        }
        scheduler.storedJobs().onSaved(id, change.change());
        entry.mAcceptors.forEach(answer -> answer.accept(accepted()));
        entry.mAcceptors.clear();
    }

    /** Takes part in what becomes of the term. */
    private final class TermEvents implements CoordinatorTerm.Listener {

        @Override
        public void began(CoordinatorTerm term, List<StoredJob> jobs) {
            mBegan = true;
            int attempt = Math.toIntExact(term.generation() * ATTEMPTS_OF_A_KEEPER);
            for (StoredJob job : jobs) {
                StoredJobEntry entry = new StoredJobEntry(job);
                entry.mSaved = Option.some(job.state());
                entry.mEndedNanos = mLoop.nowNanos();
                mEntries.put(job.spec().id(), entry);
            }
            for (StoredJob job : jobs) {
                if (!job.ended()) {
                    mSchedulers
                            .of(job.spec().service())
                            .storedJobs()
                            .add(job, attempt, mLoop.nowNanos());
                }
            }
            mSchedulers.storedJobsRead();
            List<Early> early = List.copyOf(mEarly);
            mEarly.clear();
            early.forEach(each -> accept(each.spec(), each.arrivedNanos(), each.answer()));
            mSchedulers.flush();
        }

        @Override
        public void committed() {
            mQueue.completeBatch().forEach(StoredJobCoordinator.this::saved);
            mSchedulers.flush();
            flush();
        }

        @Override
        public void notCommitted() {
            mQueue.requeueBatch(WRITE_AGAIN_MILLIS, mLoop.nowNanos());
            flush();
        }

        @Override
        public void lost() {
            giveUp();
        }
    }
}
