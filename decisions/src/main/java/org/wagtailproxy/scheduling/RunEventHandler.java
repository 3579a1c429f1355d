package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;

/**
 * Applies the events of runs on backend servers to the jobs that they belong to: ends, checkpoints
 * and the adoption of orphaned runs.
 */
final class RunEventHandler implements RunListener {

    /** Is notified of the ends of jobs. */
    interface JobEndListener {

        /**
         * Called when a job has ended, because its last task is done or a task has reached the
         * maximum number of failures.
         */
        void jobEnded(ScheduledJob job, WorkOutcome outcome, long nowNanos);
    }

    /** Added to an attempt that a server refuses as too low; exceeds the attempts of one job. */
    private static final int ATTEMPT_INCREMENT = 16;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final JobRegistry mJobs;
    private final SchedulerListener mListener;
    private final JobEndListener mEndListener;

    RunEventHandler(JobRegistry jobs, SchedulerListener listener, JobEndListener endListener) {
        mJobs = jobs;
        mListener = listener;
        mEndListener = endListener;
    }

    @Override
    public void runEnded(BackendServer server, ServerRun run, RunEnd end, long nowNanos) {
        ServerId id = server.entry().id();
        long tookMillis = (nowNanos - run.mSentNanos) / NANOS_PER_MILLI;
        mListener.runEnded(run.mTask, run.mAttempt, id, end, tookMillis, run.mEstimateMillis);
        ScheduledJob job = mJobs.get(run.mTask.job());
        if (job == null) {
            return;
        }
        long previousChange = job.changeCount();
        boolean failed = job.runEnded(run.mTask, run.mAttempt, end, id, ATTEMPT_INCREMENT);
        onTaskEnded(job, failed, previousChange, nowNanos);
    }

    @Override
    public void inheritedRunEnded(
            BackendServer server,
            TaskId task,
            int attempt,
            RunEnd end,
            long listedNanos,
            long nowNanos) {
        ScheduledJob job = mJobs.get(task.job());
        FoundEndTreatment treatment =
                job == null && mJobs.mayBeUnread(task.job(), attempt, listedNanos)
                        ? FoundEndTreatment.RETAINED_UNREAD
                        : FoundEndTreatment.ALREADY_KNOWN;
        if (job != null && !job.isEnded()) {
            long previousChange = job.changeCount();
            boolean failed = job.inheritedRunEnded(task, attempt, end);
            if (job.changeCount() > previousChange) {
                treatment = FoundEndTreatment.COUNTED;
            }
            onTaskEnded(job, failed, previousChange, nowNanos);
        }
        if (StoredAttempts.isStored(attempt)) {
            mListener.storedRunEndFound(task, attempt, server.entry().id(), end, treatment);
        }
    }

    @Override
    public void leaseWithheld(BackendServer server, int unsavedEnds) {
        mListener.leaseWithheld(server.entry().id(), unsavedEnds);
    }

    @Override
    public void restarted(BackendServer server, long startedMillis) {
        mListener.serverRestarted(server.entry().id(), startedMillis);
    }

    @Override
    public void checkpointReported(TaskId task, String checkpoint) {
        ScheduledJob job = mJobs.get(task.job());
        if (job != null && job.contains(task)) {
            job.recordCheckpoint(task, checkpoint);
        }
    }

    private void onTaskEnded(ScheduledJob job, boolean failed, long previousChange, long nowNanos) {
        if (job.isEnded()) {
            mJobs.removeIfIdle(job);
        } else if (failed) {
            mEndListener.jobEnded(
                    job, WorkOutcome.of(WorkOutcome.Kind.FAILED, "task failed"), nowNanos);
        } else if (job.isComplete()) {
            mEndListener.jobEnded(job, WorkOutcome.of(WorkOutcome.Kind.COMPLETE, "done"), nowNanos);
        } else if (job.mSpec.isStored() && job.changeCount() > previousChange) {
            mListener.storedJobChanged(job.storedJob(), job.changeCount());
        }
    }

    @Override
    public Option<Long> unsavedChange(JobId id, int attempt, long listedNanos) {
        ScheduledJob job = mJobs.get(id);
        if (job == null) {
            return mJobs.mayBeUnread(id, attempt, listedNanos)
                    ? Option.some(EndAcknowledgements.UNREAD)
                    : Option.none();
        }
        boolean hasUnsaved = job.mSpec.isStored() && job.hasUnsavedChanges();
        return hasUnsaved ? Option.some(job.changeCount()) : Option.none();
    }

    @Override
    public ServerRun adopt(
            BackendServer server, RunReport report, long reportedNanos, long nowNanos) {
        ScheduledJob job = mJobs.get(report.task().job());
        ServerId id = server.entry().id();
        if (job == null || job.isEnded() || !job.adopt(report.task(), report.attempt(), id)) {
            return null;
        }
        StepSpec step = job.mSpec.steps().get(report.task().step());
        double expectedMillis = server.slowdown().ratio(1) * step.estimateMillis();
        long ranNanos = (long) (expectedMillis * report.percent() / 100 * NANOS_PER_MILLI);
        ServerRun run =
                new ServerRun(
                        report.task(),
                        report.attempt(),
                        step.demand(),
                        step.estimateMillis(),
                        reportedNanos - ranNanos);
        run.mAdopted = true;
        run.mStored = job.mSpec.isStored();
        run.mLongRunning = job.mSpec.longRunning();
        run.enter(ServerRun.State.RUNNING, nowNanos);
        return run;
    }

    @Override
    public void fenced(BackendServer server) {
        mListener.serverClaimChanged(server.entry().id(), false, server.token());
    }
}
