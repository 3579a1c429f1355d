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
final class RunEvents implements RunListener {

    /** Hears that a job has its outcome. */
    interface JobEnds {

        /** A job has ended because its last task has, or one has failed for good. */
        void ended(JobLedger job, WorkOutcome outcome, long nowNanos);
    }

    /** Added to attempts that a server refuses as too low; exceeds the attempts of one job. */
    private static final int ATTEMPT_JUMP = 16;

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final JobBook mJobs;
    private final SchedulerListener mListener;
    private final JobEnds mEnds;

    RunEvents(JobBook jobs, SchedulerListener listener, JobEnds ends) {
        mJobs = jobs;
        mListener = listener;
        mEnds = ends;
    }

    @Override
    public void runEnded(ServerLedger server, ServerRun run, RunEnd end, long nowNanos) {
        ServerId id = server.entry().id();
        long took = (nowNanos - run.mSentNanos) / MILLI;
        mListener.runEnded(run.mTask, run.mAttempt, id, end, took, run.mEstimateMillis);
        JobLedger job = mJobs.get(run.mTask.job());
        if (job == null) {
            return;
        }
        long before = job.changes();
        boolean failed = job.runEnded(run.mTask, end, id, ATTEMPT_JUMP);
        taskEnded(job, failed, before, nowNanos);
    }

    @Override
    public void unaccountedEnd(ServerLedger server, TaskId task, RunEnd end, long nowNanos) {
        JobLedger job = mJobs.get(task.job());
        if (job != null && job.mSpec.isStored() && !job.ended()) {
            long before = job.changes();
            taskEnded(job, job.earlierRunEnded(task, end), before, nowNanos);
        }
    }

    @Override
    public void checkpointed(TaskId task, String checkpoint) {
        JobLedger job = mJobs.get(task.job());
        if (job != null && job.knows(task)) {
            job.checkpointed(task, checkpoint);
        }
    }

    private void taskEnded(JobLedger job, boolean failed, long before, long nowNanos) {
        if (job.ended()) {
            mJobs.forgetIfIdle(job);
        } else if (failed) {
            mEnds.ended(job, WorkOutcome.of(WorkOutcome.Kind.FAILED, "task failed"), nowNanos);
        } else if (job.complete()) {
            mEnds.ended(job, WorkOutcome.of(WorkOutcome.Kind.COMPLETE, "done"), nowNanos);
        } else if (job.mSpec.isStored() && job.changes() > before) {
            mListener.storedJobChanged(job.storedJob(), job.changes());
        }
    }

    @Override
    public Option<Long> unsavedChange(JobId id) {
        JobLedger job = mJobs.get(id);
        if (job == null) {
            return mJobs.mayBeUnread(id) ? Option.some(EndAccount.UNREAD) : Option.none();
        }
        boolean unsaved = job.mSpec.isStored() && job.unsaved();
        return unsaved ? Option.some(job.changes()) : Option.none();
    }

    @Override
    public ServerRun adopt(
            ServerLedger server, RunReport report, long reportedNanos, long nowNanos) {
        JobLedger job = mJobs.get(report.task().job());
        ServerId id = server.entry().id();
        if (job == null || job.ended() || !job.adopt(report.task(), report.attempt(), id)) {
            return null;
        }
        StepSpec step = job.mSpec.steps().get(report.task().step());
        double expectedMillis = server.pace().ratio(1) * step.estimateMillis();
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
        run.mLasting = job.mSpec.lasting();
        run.enter(ServerRun.State.RUNNING, nowNanos);
        return run;
    }

    @Override
    public void fenced(ServerLedger server) {
        mListener.serverHeld(server.entry().id(), false, server.token());
    }
}
