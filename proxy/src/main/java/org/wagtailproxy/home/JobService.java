package org.wagtailproxy.home;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.wagtailproxy.backend.SendOutcome;
import org.wagtailproxy.configuration.ServiceSpec;
import org.wagtailproxy.dispatch.Assignment;
import org.wagtailproxy.dispatch.QueuedTask;
import org.wagtailproxy.dispatch.RetryRule;
import org.wagtailproxy.dispatch.SendResult;
import org.wagtailproxy.dispatch.TaskRef;
import org.wagtailproxy.document.JobDocuments;
import org.wagtailproxy.engine.DispatchEngine;
import org.wagtailproxy.engine.OutgoingTask;
import org.wagtailproxy.engine.TaskOwner;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.SessionToken;
import org.wagtailproxy.job.JobSpec;
import org.wagtailproxy.job.JobState;
import org.wagtailproxy.job.JobTracker;
import org.wagtailproxy.job.TaskSpec;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.observe.Metrics;
import org.wagtailproxy.session.SessionWindows;
import org.wagtailproxy.session.WindowState;
import org.wagtailproxy.view.SharedView;
import org.wagtailproxy.wire.EndRecord;

/**
 * Accepts jobs for the incarnations over which this instance has authority, tracks their tasks and
 * stores their ends (final results) for later queries.
 *
 * <p>A job is open until its end is visible. The end of a job is published by {@link EndPublisher},
 * which may withhold it; the end of a single request is returned at once, without replicas. Safe
 * for use by several threads.
 */
public final class JobService implements TaskOwner {

    private final JobTable mTable = new JobTable();
    private final OwnedIncarnations mOwned;
    private final SharedView mView;
    private final DispatchEngine mEngine;
    private final EndPublisher mPublisher;
    private final Metrics mMetrics;
    private final EventLog mLog;
    private final long mOutcomeBytesLimit;
    private final AtomicLong mOutcomeBytes = new AtomicLong();
    private final AtomicInteger mOpenJobs = new AtomicInteger();
    private volatile boolean mDraining;

    private JobService(
            OwnedIncarnations owned,
            SharedView view,
            DispatchEngine engine,
            EndPublisher publisher,
            long outcomeBytesLimit,
            Metrics metrics,
            EventLog log) {
        mOwned = owned;
        mView = view;
        mEngine = engine;
        mPublisher = publisher;
        mOutcomeBytesLimit = outcomeBytesLimit;
        mMetrics = metrics;
        mLog = log;
    }

    /**
     * Creates the service.
     *
     * @param owned the incarnations over which this instance has authority, not null
     * @param view the declared services and teams, not null
     * @param engine the engine that runs the tasks, not null
     * @param publisher the publisher of ends, not null
     * @param outcomeBytesLimit the maximum size of stored ends in bytes; above it, new jobs are
     *     refused
     * @param metrics the metrics, not null
     * @param log the event log, not null
     * @return the service, never null
     */
    public static JobService of(
            OwnedIncarnations owned,
            SharedView view,
            DispatchEngine engine,
            EndPublisher publisher,
            long outcomeBytesLimit,
            Metrics metrics,
            EventLog log) {
        Objects.requireNonNull(owned, "owned");
        return new JobService(owned, view, engine, publisher, outcomeBytesLimit, metrics, log);
    }

    /**
     * Accepts a job, or returns the existing job of the same name and content.
     *
     * @param name the job name, within a session of an incarnation under the authority of this
     *     instance, not null
     * @param spec the content of the job, not null
     * @return the reply with the job's document, or a refusal
     */
    public JobReply submit(JobName name, JobSpec spec) {
        Either<Failure, JobReply> reply = accept(name, spec, false, Option.none());
        reply.peekLeft(failure -> recordRefusal(name, failure));
        return reply.getOrElseGet(JobReply::refused);
    }

    /**
     * Runs a job whose end is returned once and not stored.
     *
     * @param name the job name, within a session of an incarnation under the authority of this
     *     instance, not null
     * @param spec the content of the job, not null
     * @return a future that completes with the end, or with a refusal
     */
    public CompletableFuture<JobReply> run(JobName name, JobSpec spec) {
        CompletableFuture<JobReply> end = new CompletableFuture<>();
        Either<Failure, JobReply> reply = accept(name, spec, true, Option.some(end));
        reply.peekLeft(
                failure -> {
                    recordRefusal(name, failure);
                    end.complete(JobReply.refused(failure));
                });
        return end;
    }

    /**
     * Returns a job, after waiting for its end if requested.
     *
     * @param name the job, not null
     * @param waitMilliseconds the maximum wait for the end in milliseconds, 0 for none
     * @return a future that completes with its document, or with a refusal
     */
    public CompletableFuture<JobReply> get(JobName name, long waitMilliseconds) {
        return mTable.withShard(
                name,
                jobs -> {
                    JobEntry entry = jobs.get(name);
                    if (entry == null) {
                        return completed(JobReply.refused(absenceFailure(name)));
                    }
                    if (entry.end().isDefined() || waitMilliseconds == 0) {
                        return completed(entry.reply());
                    }
                    return replyAtEnd(name, entry, waitMilliseconds);
                });
    }

    /**
     * Returns the trace of a job.
     *
     * @param name the job, not null
     * @return its trace, or a refusal
     */
    public JobReply trace(JobName name) {
        return mTable.withShard(
                name,
                jobs -> {
                    JobEntry entry = jobs.get(name);
                    return entry == null
                            ? JobReply.refused(absenceFailure(name))
                            : entry.traceReply();
                });
    }

    /**
     * Cancels a job. Queued tasks end as not run; the job ends once the results of sent tasks have
     * arrived.
     *
     * @param name the job, not null
     * @return its document, or a refusal
     */
    public JobReply cancel(JobName name) {
        Option<JobSpec> open =
                mTable.withShard(name, jobs -> Option.of(jobs.get(name)))
                        .flatMap(entry -> Option.of(entry.tracker()))
                        .map(JobTracker::spec);
        open.forEach(
                spec -> {
                    mEngine.removeJob(spec.service(), name);
                    failJob(name, Failure.of(FailureKind.CANCELLED, "cancelled by a caller"));
                });
        return mTable.withShard(
                name,
                jobs -> {
                    JobEntry entry = jobs.get(name);
                    return entry == null ? JobReply.refused(absenceFailure(name)) : entry.reply();
                });
    }

    /**
     * Returns the end of a job if it is visible to callers.
     *
     * @param name the job, not null
     * @return the record, none if this instance has no visible end of the job
     */
    public Option<EndRecord> visibleEnd(JobName name) {
        return mTable.withShard(name, jobs -> Option.of(jobs.get(name)).flatMap(JobEntry::end));
    }

    /**
     * Returns the visible ends of the jobs whose names belong to sessions of an incarnation.
     *
     * @param issuer the incarnation that issued the sessions, not null
     * @return the records, never null
     */
    public List<EndRecord> visibleEnds(Incarnation issuer) {
        return mTable.collect(
                job -> {
                    boolean isIssuer =
                            job.getKey().session().exists(t -> t.incarnation().equals(issuer));
                    return isIssuer ? job.getValue().end().getOrNull() : null;
                });
    }

    /**
     * Adds the end of a job over which another instance handed over authority; an existing entry of
     * that name stays.
     *
     * @param name the job, not null
     * @param record the end, not null
     */
    public void addHandedOverEnd(JobName name, EndRecord record) {
        JobEntry existing =
                mTable.withShard(name, jobs -> jobs.putIfAbsent(name, JobEntry.ended(record)));
        if (existing == null) {
            mOutcomeBytes.addAndGet(EndRecords.documentBytes(record));
        }
    }

    /** Starts to refuse new jobs. */
    public void drain() {
        mDraining = true;
    }

    /**
     * Fails every open job; no further task of it is sent.
     *
     * @param failure the reason, not null
     */
    public void failOpenJobs(Failure failure) {
        List<JobName> open =
                mTable.collect(job -> job.getValue().tracker() == null ? null : job.getKey());
        open.forEach(name -> failJob(name, failure));
    }

    /**
     * Returns the number of jobs whose end is not yet visible.
     *
     * @return the number of open jobs
     */
    public int openJobs() {
        return mOpenJobs.get();
    }

    /**
     * Removes the ended jobs of forgotten session windows, and releases the handed-over
     * incarnations of which every window is forgotten.
     */
    public void removeForgottenJobs() {
        long nowNanos = System.nanoTime();
        mTable.removeIf(
                (name, entry) -> {
                    boolean expired = entry.end().isDefined() && isForgotten(name, nowNanos);
                    if (expired) {
                        entry.end()
                                .forEach(
                                        end ->
                                                mOutcomeBytes.addAndGet(
                                                        -EndRecords.documentBytes(end)));
                    }
                    return expired;
                });
        mOwned.forgottenIncarnations(nowNanos).forEach(mOwned::release);
    }

    @Override
    public Option<OutgoingTask> startTask(Assignment assignment) {
        TaskRef task = assignment.task().task();
        return mTable.withShard(
                task.job(),
                jobs -> {
                    JobEntry entry = jobs.get(task.job());
                    if (entry == null || entry.tracker() == null) {
                        return Option.none();
                    }
                    String server = assignment.backendServer().toString();
                    if (!entry.tracker().tryStart(task.index(), server, System.nanoTime())) {
                        return Option.none();
                    }
                    TaskSpec spec = entry.tracker().spec().tasks().get(task.index());
                    return Option.some(
                            new OutgoingTask(task.job() + "/" + spec.key(), spec.payload()));
                });
    }

    @Override
    public boolean taskFinished(Assignment assignment, SendOutcome outcome) {
        TaskRef task = assignment.task().task();
        JobName name = task.job();
        boolean requeued =
                mTable.withShard(
                        name,
                        jobs -> {
                            JobEntry entry = jobs.get(name);
                            boolean open = entry != null && entry.tracker() != null;
                            return open && recordOutcome(entry, assignment, outcome);
                        });
        publishIfSettled(name);
        return requeued;
    }

    @Override
    public void taskExpired(QueuedTask task) {
        Failure failure =
                Failure.of(FailureKind.TASK_NOT_RUN, "no backend server took a task in time");
        JobName name = task.task().job();
        withTracker(
                name, tracker -> tracker.fail(task.task().index(), "", failure, System.nanoTime()));
        publishIfSettled(name);
    }

    private Either<Failure, JobReply> accept(
            JobName name,
            JobSpec spec,
            boolean isTransient,
            Option<CompletableFuture<JobReply>> waiter) {
        return mTable.withShard(
                name,
                jobs -> {
                    JobEntry existing = jobs.get(name);
                    if (existing != null) {
                        return replyForExisting(existing, spec);
                    }
                    Option<Failure> refusal = refusal(name, spec);
                    if (refusal.isDefined()) {
                        return Either.left(refusal.get());
                    }
                    long nowNanos = System.nanoTime();
                    JobEntry entry =
                            JobEntry.running(JobTracker.of(name, spec, nowNanos), isTransient);
                    Either<Failure, Integer> queued =
                            mEngine.enqueue(name, spec, queuedTasks(name, spec, nowNanos));
                    if (queued.isLeft()) {
                        return Either.left(queued.getLeft());
                    }
                    jobs.put(name, entry);
                    waiter.forEach(entry::addWaiter);
                    mOpenJobs.incrementAndGet();
                    mLog.event(EventName.JOB_ACCEPTED).with(EventField.JOB, name).debug();
                    return Either.right(entry.reply());
                });
    }

    private static Either<Failure, JobReply> replyForExisting(JobEntry entry, JobSpec spec) {
        if (entry.digest().equals(spec.digest())) {
            return Either.right(entry.reply());
        }
        return Either.left(
                Failure.of(FailureKind.NAME_CONFLICT, "the name is taken by other content"));
    }

    /** Returns the reason for which a job of an unknown name cannot be accepted, none if it can. */
    private Option<Failure> refusal(JobName name, JobSpec spec) {
        Failure absent = absenceFailure(name);
        if (absent.kind() != FailureKind.JOB_NOT_FOUND) {
            return Option.some(absent);
        }
        if (windowState(name) == WindowState.CLOSED) {
            return refuse(FailureKind.WINDOW_CLOSED, "take a new session for a new job");
        }
        if (mDraining) {
            return refuse(FailureKind.DRAINING, "this instance is stopping");
        }
        if (mOutcomeBytes.get() > mOutcomeBytesLimit) {
            return refuse(FailureKind.OUTCOME_MEMORY_FULL, "too many outcomes are remembered");
        }
        if (mView.team(spec.team()).isEmpty()) {
            return refuse(FailureKind.UNKNOWN_TEAM, "not declared: " + spec.team());
        }
        Option<ServiceSpec> service = mView.service(spec.service());
        if (service.isEmpty()) {
            return refuse(FailureKind.UNKNOWN_SERVICE, "not declared: " + spec.service());
        }
        long maxMilliseconds = service.get().maximumDeclared().toMillis();
        if (spec.tasks().stream().anyMatch(task -> task.declaredMilliseconds() > maxMilliseconds)) {
            return refuse(
                    FailureKind.NEVER_RUNNABLE,
                    "tasks run at most " + maxMilliseconds + " milliseconds");
        }
        return Option.none();
    }

    /**
     * Returns the failure for an unknown name; the state of its session window shows whether a job
     * of this name can ever have been accepted.
     */
    private Failure absenceFailure(JobName name) {
        return switch (windowState(name)) {
            case NEVER_ISSUED ->
                    Failure.of(FailureKind.WRONG_SESSION, "the session was never issued");
            case FORGOTTEN -> Failure.of(FailureKind.WINDOW_FORGOTTEN, "the session is too old");
            default -> Failure.of(FailureKind.JOB_NOT_FOUND, "no such job was accepted");
        };
    }

    private WindowState windowState(JobName name) {
        return name.session()
                .flatMap(
                        token ->
                                mOwned.windows(token.incarnation()).map(each -> state(each, token)))
                .getOrElse(WindowState.FORGOTTEN);
    }

    private static WindowState state(SessionWindows windows, SessionToken token) {
        return windows.state(token.window(), System.nanoTime());
    }

    private boolean isForgotten(JobName name, long nowNanos) {
        SessionToken token = name.session().get();
        return mOwned.windows(token.incarnation())
                .map(windows -> windows.state(token.window(), nowNanos) == WindowState.FORGOTTEN)
                .getOrElse(true);
    }

    private List<QueuedTask> queuedTasks(JobName name, JobSpec spec, long nowNanos) {
        long queueTimeoutNanos = mView.service(spec.service()).get().queueTimeout().toNanos();
        List<QueuedTask> tasks = new ArrayList<>(spec.tasks().size());
        for (int index = 0; index < spec.tasks().size(); index++) {
            long declared = spec.tasks().get(index).declaredMilliseconds();
            tasks.add(
                    QueuedTask.of(
                            TaskRef.of(name, index),
                            spec.team(),
                            declared,
                            nowNanos,
                            nowNanos + queueTimeoutNanos));
        }
        return tasks;
    }

    private CompletableFuture<JobReply> replyAtEnd(
            JobName name, JobEntry entry, long milliseconds) {
        CompletableFuture<JobReply> waiter = new CompletableFuture<>();
        entry.addWaiter(waiter);
        CompletableFuture<JobReply> timed =
                waiter.copy().completeOnTimeout(null, milliseconds, TimeUnit.MILLISECONDS);
        return timed.thenApply(reply -> reply != null ? reply : replyAfterTimeout(name, waiter));
    }

    private JobReply replyAfterTimeout(JobName name, CompletableFuture<JobReply> waiter) {
        return mTable.withShard(
                name,
                jobs -> {
                    JobEntry entry = jobs.get(name);
                    if (entry == null) {
                        return JobReply.refused(absenceFailure(name));
                    }
                    entry.removeWaiter(waiter);
                    return entry.reply();
                });
    }

    private static boolean recordOutcome(
            JobEntry entry, Assignment assignment, SendOutcome outcome) {
        JobTracker tracker = entry.tracker();
        int index = assignment.task().task().index();
        String server = assignment.backendServer().toString();
        SendResult result = outcome.result();
        long nowNanos = System.nanoTime();
        if (result == SendResult.ANSWERED) {
            tracker.recordAnswer(index, server, outcome.answer(), nowNanos);
            return false;
        }
        boolean idempotent = tracker.spec().idempotent();
        if (RetryRule.maySendAgain(result, idempotent, entry.unknownRetries())) {
            if (result == SendResult.UNKNOWN) {
                entry.countUnknownRetry();
            }
            return tracker.requeue(index, server, result.externalName(), nowNanos);
        }
        FailureKind kind =
                result == SendResult.FAILED
                        ? FailureKind.TASK_FAILED
                        : FailureKind.TASK_OUTCOME_UNKNOWN;
        tracker.fail(index, server, Failure.of(kind, outcome.detail()), nowNanos);
        return false;
    }

    private void failJob(JobName name, Failure failure) {
        withTracker(name, tracker -> tracker.failJob(failure, System.nanoTime()));
        publishIfSettled(name);
    }

    private void withTracker(JobName name, Consumer<JobTracker> use) {
        mTable.withShard(
                name,
                jobs -> {
                    JobEntry entry = jobs.get(name);
                    if (entry != null && entry.tracker() != null) {
                        use.accept(entry.tracker());
                    }
                    return null;
                });
    }

    /** Starts to publish the end of a job once it is determined; does so only once for each job. */
    private void publishIfSettled(JobName name) {
        Option<JobEntry> settled =
                mTable.withShard(
                        name, jobs -> Option.of(jobs.get(name)).filter(JobEntry::markSettled));
        settled.forEach(entry -> publishIfSettled(name, entry));
    }

    private void publishIfSettled(JobName name, JobEntry entry) {
        JobTracker tracker = entry.tracker();
        JobState state = tracker.state();
        if (state == JobState.FAILED) {
            mEngine.removeJob(tracker.spec().service(), name);
        }
        EndRecord record =
                EndRecords.record(
                        name,
                        tracker.digest(),
                        state == JobState.COMPLETE,
                        JobDocuments.writeJob(tracker, state),
                        JobDocuments.writeTrace(tracker, state));
        if (entry.isTransient()) {
            publish(name, record, tracker);
            return;
        }
        mPublisher.publish(name, record, end -> publish(name, end, tracker));
    }

    private void publish(JobName name, EndRecord record, JobTracker tracker) {
        List<CompletableFuture<JobReply>> waiters =
                mTable.withShard(
                        name,
                        jobs -> {
                            JobEntry entry = jobs.get(name);
                            if (entry.isTransient()) {
                                jobs.remove(name);
                            } else {
                                mOutcomeBytes.addAndGet(EndRecords.documentBytes(record));
                            }
                            return entry.publish(record);
                        });
        mOpenJobs.decrementAndGet();
        JobReply reply = JobReply.ended(record.getDocument().toByteArray());
        waiters.forEach(waiter -> waiter.complete(reply));
        mPublisher.recordMetrics(tracker, record.getComplete());
    }

    private void recordRefusal(JobName name, Failure failure) {
        mMetrics.requestRefused(failure.kind().slug());
        mLog.event(EventName.JOB_REFUSED)
                .with(EventField.JOB, name)
                .with(EventField.FAILURE, failure.kind().slug())
                .with(EventField.DETAIL, failure.detail())
                .debug();
    }

    private static Option<Failure> refuse(FailureKind kind, String detail) {
        return Option.some(Failure.of(kind, detail));
    }

    private static CompletableFuture<JobReply> completed(JobReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
