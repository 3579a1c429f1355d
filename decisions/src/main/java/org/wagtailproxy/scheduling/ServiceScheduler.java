package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.wagtailproxy.fleet.LookResult;
import org.wagtailproxy.fleet.Order;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Schedules the jobs of one service on the backend servers that this instance gives orders to.
 *
 * <p>Input comes as calls, orders are taken with {@link #takeOrders}; sending them is left to the
 * caller. Safe for use by several threads: one scheduler is one shard under its own lock.
 */
public final class ServiceScheduler {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Pause between rounds of the clock, in milliseconds, after which this process may have stood
     * still; several rounds.
     */
    public static final long STALL_MILLIS = 350;

    /** Before any round of the clock. */
    private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

    private final LeaseTiming mTiming;
    private final SchedulerTuning mTuning;
    private final SchedulerListener mListener;
    private final QueueReview mReview;
    private final StallRule mStalls;
    private final Placer mPlacer;
    private final ServerPool mServers;
    private long mTickNanos = NEVER_NANOS;
    private final InheritedRuns mInherited;
    private final JobBook mJobs = new JobBook();
    private final StoredJobs mStored;

    private ServiceScheduler(
            LeaseTiming timing,
            TokenSource tokens,
            SchedulerTuning tuning,
            SchedulerListener listener) {
        mTiming = timing;
        mTuning = tuning;
        mListener = listener;
        mInherited = new InheritedRuns(timing);
        mReview = new QueueReview(new Admission(tuning));
        mStalls = new StallRule(tuning);
        mPlacer = new Placer(tuning, listener);
        mServers =
                new ServerPool(
                        timing,
                        tokens,
                        new RunEvents(mJobs, listener, this::end),
                        tuning.mostEjectedOneIn());
        mStored = new StoredJobs(this, mJobs, mServers, listener);
    }

    /**
     * Creates a scheduler without backend servers.
     *
     * @param timing times of leases, not null
     * @param tokens where fencing tokens come from, not null
     * @param tuning how to weigh, not null
     * @param listener who hears the decisions, not null
     * @return the scheduler, never null
     */
    public static ServiceScheduler of(
            LeaseTiming timing,
            TokenSource tokens,
            SchedulerTuning tuning,
            SchedulerListener listener) {
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(tokens, "tokens");
        Objects.requireNonNull(tuning, "tuning");
        Objects.requireNonNull(listener, "listener");
        return new ServiceScheduler(timing, tokens, tuning, listener);
    }

    /**
     * Takes over the directory.
     *
     * @param entries every backend server of the service that is to be known here, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void list(Collection<ServerEntry> entries, long nowNanos) {
        mServers.list(entries);
    }

    /**
     * Sets how strong the claim to each backend server is.
     *
     * @param claims gives the claim to a server, not null
     */
    public synchronized void claim(Function<ServerEntry, Claim> claims) {
        mServers.claim(claims);
    }

    /**
     * Takes a job in, or joins the one of the same id. The outcome is told to the listener, maybe
     * before this returns. A job that finds no room waits until {@link #refuseHopeless}.
     *
     * @param spec the job, not null
     * @param progress what an earlier leader did of it, not null
     * @param arrivedNanos when its caller sent it, by the monotonic time
     * @param deadlineNanos when its caller stops waiting, by the monotonic time
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void submit(
            WorkSpec spec,
            WorkProgress progress,
            long arrivedNanos,
            long deadlineNanos,
            long nowNanos) {
        Objects.requireNonNull(spec, "spec");
        if (mJobs.wasCompleted(spec.id())) {
            mListener.jobEnded(spec.id(), WorkOutcome.of(WorkOutcome.Kind.COMPLETE, "remembered"));
            return;
        }
        JobLedger known = mJobs.get(spec.id());
        if (known != null && !known.ended()) {
            known.mDeadlineNanos = Math.max(known.mDeadlineNanos, deadlineNanos);
            if (known.inherit(progress, nowNanos)) {
                mServers.all().forEach(ServerLedger::wantLook);
            }
            return;
        }
        if (known != null) {
            mListener.jobEnded(
                    spec.id(), WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "being stopped"));
            return;
        }
        JobLedger job =
                new JobLedger(
                        spec,
                        progress,
                        arrivedNanos,
                        deadlineNanos,
                        nowNanos,
                        mTuning.returnMillis());
        mJobs.add(job);
        if (job.inherited()) {
            mServers.all().forEach(ServerLedger::wantLook);
        }
        mServers.all().forEach(server -> server.adoptForeign(nowNanos));
        place(nowNanos);
    }

    /**
     * Returns the jobs of which no task has been started.
     *
     * @return the jobs, never null
     */
    public synchronized List<WorkSpec> unbegun() {
        List<WorkSpec> unbegun = new ArrayList<>();
        for (JobLedger job : mJobs.all()) {
            if (job.refusable() && !job.ended()) {
                unbegun.add(job.mSpec);
            }
        }
        return unbegun;
    }

    /**
     * Forgets a job of which no task has been started, because it runs elsewhere.
     *
     * @param id which, not null
     * @return true if it was known and had not begun
     */
    public synchronized boolean release(JobId id) {
        JobLedger job = mJobs.get(id);
        if (job == null || job.begun() || job.ended()) {
            return false;
        }
        mJobs.remove(job);
        return true;
    }

    /**
     * Refuses the jobs that have not begun and will not be answered in time.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void refuseHopeless(long nowNanos) {
        List<JobLedger> queue = queue(nowNanos);
        if (queue.isEmpty()) {
            return;
        }
        Projection projection = projection(nowNanos);
        for (JobLedger job : mReview.hopeless(queue, projection, nowNanos)) {
            refuse(job, projection, nowNanos);
        }
    }

    /**
     * Refuses a job if it has not begun and will not be answered in time.
     *
     * @param id which, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void refuseIfHopeless(JobId id, long nowNanos) {
        JobLedger job = mJobs.get(id);
        if (job == null || job.begun() || job.ended()) {
            return;
        }
        Projection projection = projection(nowNanos);
        if (mReview.isHopeless(job, queue(nowNanos), projection, nowNanos)) {
            refuse(job, projection, nowNanos);
        }
    }

    /**
     * Returns what concerns stored jobs.
     *
     * @return the same object each time, never null
     */
    public StoredJobs stored() {
        return mStored;
    }

    /**
     * Tells how far a job is.
     *
     * @param id which, not null
     * @return the phase, never null
     */
    public synchronized JobPhase phase(JobId id) {
        return JobPhase.of(mJobs.get(id));
    }

    /**
     * Tells what the scheduler holds.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the state, never null
     */
    public synchronized SchedulerState state(long nowNanos) {
        return SchedulerState.of(mJobs.all(), mServers, nowNanos);
    }

    /**
     * Stops a job whose caller has left; no outcome is told.
     *
     * @param id which, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void withdraw(JobId id, long nowNanos) {
        JobLedger job = mJobs.get(id);
        if (job != null && !job.ended()) {
            close(job, StoredJob.State.CANCELLED, nowNanos);
            place(nowNanos);
        }
    }

    /**
     * Takes over the answer to a start.
     *
     * @param order the order, not null
     * @param result what came of it, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void started(Order.Start order, StartResult result, long nowNanos) {
        ServerLedger server = mServers.get(order.recipient().server());
        if (server != null) {
            server.started(order, result, nowNanos);
            if (result != StartResult.STARTED) {
                settle(server, nowNanos);
            }
        }
    }

    /**
     * Takes over the answer to a stop.
     *
     * @param order the order, not null
     * @param result what came of it, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void stopped(Order.Stop order, StopResult result, long nowNanos) {
        ServerLedger server = mServers.get(order.recipient().server());
        if (server != null) {
            server.stopped(order, result, nowNanos);
            settle(server, nowNanos);
        }
    }

    /**
     * Takes over the answer to a look.
     *
     * @param order the order, not null
     * @param result what came of it, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void looked(Order.Look order, LookResult result, long nowNanos) {
        ServerLedger server = mServers.get(order.recipient().server());
        if (server != null) {
            boolean before = server.held();
            server.looked(order, result, nowNanos);
            tellPhase(server, before);
            settle(server, nowNanos);
        }
    }

    /**
     * Does what is due by the clock.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public synchronized void tick(long nowNanos) {
        mTickNanos = nowNanos;
        for (ServerLedger server : mServers.all()) {
            boolean before = server.held();
            server.tick(nowNanos);
            tellPhase(server, before);
            mStalls.stopStalled(server, nowNanos);
        }
        mJobs.tick(nowNanos);
        expireJobs(nowNanos);
        place(nowNanos);
    }

    /** Places nothing more before the next round of the clock: another leader may have come. */
    public synchronized void standStill() {
        mTickNanos = NEVER_NANOS;
    }

    /**
     * Takes note that instances on the other side of a cut are back. Jobs that come from there may
     * run on servers that the directory here had lost, so having looked at all that are known
     * proves nothing for jobs that come until then.
     *
     * @param untilNanos the monotonic time until which jobs may come from there
     */
    public synchronized void distrust(long untilNanos) {
        mInherited.distrust(untilNanos);
    }

    /**
     * Takes the orders that are to be sent now.
     *
     * @return the orders, never null
     */
    public synchronized List<Order> takeOrders() {
        return mServers.takeOrders();
    }

    /**
     * Estimates how long a job that came now would wait for room.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the time in milliseconds; very long if no backend server is held
     */
    public synchronized double queueMillis(long nowNanos) {
        return QueueReview.waitMillis(queue(nowNanos), projection(nowNanos));
    }

    private void settle(ServerLedger server, long nowNanos) {
        server.tick(nowNanos);
        place(nowNanos);
    }

    /**
     * Forgets every job without stopping it, because another instance takes over.
     *
     * @return what is done of each open job, so that it is not run again; never null
     */
    public synchronized Map<JobId, WorkProgress> abdicate() {
        Map<JobId, WorkProgress> progress = new HashMap<>();
        for (JobLedger job : mJobs.all()) {
            if (!job.ended() && !job.mSpec.isStored()) {
                progress.put(job.mSpec.id(), job.progress());
            }
        }
        mJobs.clear();
        mServers.clear();
        return progress;
    }

    private void tellPhase(ServerLedger server, boolean was) {
        boolean is = server.held();
        if (was != is) {
            mListener.serverHeld(server.entry().id(), is, server.token());
        }
    }

    /** Jobs with tasks that may be placed. */
    private List<JobLedger> queue(long nowNanos) {
        List<JobLedger> queue = new ArrayList<>();
        for (JobLedger job : mJobs.all()) {
            if (!job.ended()
                    && job.waiting() > 0
                    && !mInherited.mayRunUnseen(job, mServers, nowNanos)) {
                queue.add(job);
            }
        }
        return queue;
    }

    /**
     * Places what can be placed. After a stall nothing is placed before the next round of the
     * clock, which first finds out whether another leader has taken over.
     */
    void place(long nowNanos) {
        if (nowNanos - mTickNanos > STALL_MILLIS * MILLI) {
            return;
        }
        List<JobLedger> queue = queue(nowNanos);
        if (queue.isEmpty()) {
            return;
        }
        mPlacer.place(queue, mServers.usable(nowNanos), nowNanos);
    }

    private void expireJobs(long nowNanos) {
        for (JobLedger job : mJobs.copy()) {
            boolean worthless = job.waiting() > 0 && nowNanos >= job.mWorthlessNanos;
            if (!job.ended() && (worthless || nowNanos >= job.mDeadlineNanos)) {
                if (job.begun()) {
                    end(job, WorkOutcome.of(WorkOutcome.Kind.ABANDONED, "out of time"), nowNanos);
                } else {
                    refuse(job, projection(nowNanos), nowNanos);
                }
            }
        }
    }

    private void refuse(JobLedger job, Projection projection, long nowNanos) {
        end(
                job,
                WorkOutcome.refused("no room in time", retryMillis(projection, nowNanos)),
                nowNanos);
    }

    private Projection projection(long nowNanos) {
        return new Projection(
                mServers.usable(nowNanos),
                mServers.settling(nowNanos),
                mTiming.adoptMillis(),
                nowNanos);
    }

    /** Decides whether a job that is not in the book would be refused; as {@link StoredJobs}. */
    Option<Long> refusal(WorkSpec spec, long arrivedNanos, long nowNanos) {
        JobLedger job =
                new JobLedger(
                        spec,
                        WorkProgress.NONE,
                        arrivedNanos,
                        JobLedger.NEVER_NANOS,
                        nowNanos,
                        mTuning.returnMillis());
        Projection projection = projection(nowNanos);
        return mReview.isHopeless(job, queue(nowNanos), projection, nowNanos)
                ? Option.some(retryMillis(projection, nowNanos))
                : Option.none();
    }

    private long retryMillis(Projection projection, long nowNanos) {
        double wait = QueueReview.waitMillis(queue(nowNanos), projection);
        return Math.round(Math.min(wait, mTuning.longestRetryMillis()));
    }

    void end(JobLedger job, WorkOutcome outcome, long nowNanos) {
        boolean complete = outcome.kind() == WorkOutcome.Kind.COMPLETE;
        StoredJob.State state = complete ? StoredJob.State.COMPLETE : StoredJob.State.FAILED;
        close(job, state, nowNanos);
        if (job.mSpec.isStored()) {
            mListener.storedJobChanged(job.storedJob(), job.changes());
            return;
        }
        if (complete) {
            mJobs.remember(job, nowNanos);
        }
        mListener.jobEnded(job.mSpec.id(), outcome);
    }

    void close(JobLedger job, StoredJob.State state, long nowNanos) {
        job.end(state);
        for (ServerLedger server : mServers.all()) {
            for (ServerRun run : List.copyOf(server.runs())) {
                if (run.mTask.job().equals(job.mSpec.id())) {
                    server.stop(run.mTask, nowNanos);
                }
            }
        }
        mJobs.forgetIfIdle(job);
    }
}
