package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.scheduling.FoundEndTreatment;
import org.wagtailproxy.scheduling.InheritedJobEvidence;
import org.wagtailproxy.scheduling.RunEnd;
import org.wagtailproxy.scheduling.SchedulerListener;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;

/**
 * Logs the events of the schedulers and returns outcomes to the home instances that wait for them.
 * Confined to the event loop.
 */
final class SchedulerEvents implements SchedulerListener {

    private final DecisionLog mLog;
    private final PendingJobs mPendingJobs;
    private final StoredJobCoordinator mCoordinator;
    private final LongSupplier mClock;
    private final Consumer<ServerId> mOnServerLost;

    /**
     * Creates a listener.
     *
     * @param pendingJobs the jobs that have no outcome yet, from which ended ones are removed
     * @param clock returns the monotonic time in nanoseconds
     * @param onServerLost receives servers that another instance has claimed
     */
    SchedulerEvents(
            DecisionLog log,
            PendingJobs pendingJobs,
            StoredJobCoordinator coordinator,
            LongSupplier clock,
            Consumer<ServerId> onServerLost) {
        mLog = log;
        mPendingJobs = pendingJobs;
        mCoordinator = coordinator;
        mClock = clock;
        mOnServerLost = onServerLost;
    }

    @Override
    public void jobEnded(JobId job, WorkOutcome outcome) {
        PendingJob pendingJob = mPendingJobs.remove(job);
        mLog.jobEnded(
                job, outcome, pendingJob == null || pendingJob.isPastObjective(mClock.getAsLong()));
        if (pendingJob != null) {
            pendingJob.homes().values().forEach(home -> home.accept(Either.right(outcome)));
        }
    }

    @Override
    public void storedJobChanged(StoredJob job, long changeNumber) {
        mCoordinator.onJobChanged(job, changeNumber);
    }

    @Override
    public void inheritedJobReleased(JobId job, InheritedJobEvidence evidence, long waitedMillis) {
        mLog.inheritedJobReleased(job, evidence, waitedMillis);
    }

    @Override
    public void taskPlaced(TaskId task, int attempt, ServerId server, long expectedMillis) {
        PendingJob pendingJob = mPendingJobs.get(task.job());
        if (pendingJob != null && pendingJob.markStarted()) {
            long waitedNanos = mClock.getAsLong() - pendingJob.arrivedNanos();
            mLog.jobStarted(pendingJob.priority(), TimeUnit.NANOSECONDS.toMillis(waitedNanos));
        }
        mLog.taskPlaced(task, attempt, server, expectedMillis, pendingJob != null);
    }

    @Override
    public void runEnded(
            TaskId task,
            int attempt,
            ServerId server,
            RunEnd end,
            long tookMillis,
            long estimateMillis) {
        boolean endLogged = mPendingJobs.contains(task.job());
        mLog.runEnded(task, attempt, server, end, tookMillis, estimateMillis, endLogged);
    }

    @Override
    public void storedRunEndFound(
            TaskId task, int attempt, ServerId server, RunEnd end, FoundEndTreatment treatment) {
        mLog.storedRunEndFound(task, attempt, server, end, treatment);
    }

    @Override
    public void leaseWithheld(ServerId server, int unsavedEnds) {
        mLog.leaseWithheld(server, unsavedEnds);
    }

    @Override
    public void serverRestarted(ServerId server, long startedMillis) {
        mLog.serverRestarted(server, startedMillis);
    }

    @Override
    public void serverClaimChanged(ServerId server, boolean held, long token) {
        mLog.serverClaimChanged(server, held, token);
        if (!held) {
            mOnServerLost.accept(server);
        }
    }
}
