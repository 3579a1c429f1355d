package org.wagtailproxy.scheduling;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;

/** Connects the accounts of backend servers with those of jobs. */
final class RunEventHandler implements RunListener {

    /** Hears that a job has its outcome. */
    interface JobEnds {

        /** A job has ended because its last task has, or one has failed for good. */
        void ended(ScheduledJob job, WorkOutcome outcome, long nowNanos);
    }

    /** Added to attempts that a server refuses as too low; exceeds the attempts of one job. */
    private static final int ATTEMPT_JUMP = 16;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final JobRegistry mJobs;
    private final SchedulerListener mListener;
    private final JobEnds mEnds;

    RunEventHandler(JobRegistry jobs, SchedulerListener listener, JobEnds ends) {
        mJobs = jobs;
        mListener = listener;
        mEnds = ends;
    }

    @Override
    public void runEnded(BackendServer server, ServerRun run, RunEnd end, long nowNanos) {
        ServerId id = server.entry().id();
        long took = (nowNanos - run.mSentNanos) / MILLI;
        mListener.runEnded(run.mTask, run.mAttempt, id, end, took, run.mEstimateMillis);
        ScheduledJob job = mJobs.get(run.mTask.job());
        if (job == null) {
            return;
        }
        long before = job.changeCount();
        boolean failed = job.runEnded(run.mTask, end, id, ATTEMPT_JUMP);
        taskEnded(job, failed, before, nowNanos);
    }

    @Override
    public void unaccountedEnd(BackendServer server, TaskId task, RunEnd end, long nowNanos) {
        ScheduledJob job = mJobs.get(task.job());
        if (job != null && job.mSpec.isStored() && !job.isEnded()) {
            long before = job.changeCount();
            taskEnded(job, job.inheritedRunEnded(task, end), before, nowNanos);
        }
    }

    @Override
    public void checkpointed(TaskId task, String checkpoint) {
        ScheduledJob job = mJobs.get(task.job());
        if (job != null && job.contains(task)) {
            job.recordCheckpoint(task, checkpoint);
        }
    }

    private void taskEnded(ScheduledJob job, boolean failed, long before, long nowNanos) {
        if (job.isEnded()) {
            mJobs.removeIfIdle(job);
        } else if (failed) {
            mEnds.ended(job, WorkOutcome.of(WorkOutcome.Kind.FAILED, "task failed"), nowNanos);
        } else if (job.isComplete()) {
            mEnds.ended(job, WorkOutcome.of(WorkOutcome.Kind.COMPLETE, "done"), nowNanos);
        } else if (job.mSpec.isStored() && job.changeCount() > before) {
            mListener.storedJobChanged(job.storedJob(), job.changeCount());
        }
    }

    @Override
    public Option<Long> unsavedChange(JobId id) {
        ScheduledJob job = mJobs.get(id);
        if (job == null) {
            return mJobs.mayBeUnread(id) ? Option.some(EndAcknowledgements.UNREAD) : Option.none();
        }
        boolean unsaved = job.mSpec.isStored() && job.hasUnsavedChanges();
        return unsaved ? Option.some(job.changeCount()) : Option.none();
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
        long ranNanos = (long) (expectedMillis * report.percent() / 100 * MILLI);
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
