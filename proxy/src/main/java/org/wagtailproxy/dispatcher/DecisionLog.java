package org.wagtailproxy.dispatcher;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.observe.MetricsRecorder;
import org.wagtailproxy.scheduling.FoundEndTreatment;
import org.wagtailproxy.scheduling.InheritedJobEvidence;
import org.wagtailproxy.scheduling.RunEnd;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

/**
 * Logs and counts each decision about a job and each change in the control of backend servers.
 *
 * <p>Runs that go as expected are buffered in {@link RunLogBuffer} and logged only if their job is
 * late, fails, is withdrawn or moves to another leader.
 */
final class DecisionLog {

    private final EventLog mLog;
    private final MetricsRecorder mMetrics;
    private final RunLogBuffer mRunLog = new RunLogBuffer();

    DecisionLog(EventLog log, MetricsRecorder metrics) {
        mLog = log;
        mMetrics = metrics;
    }

    void jobAccepted(WorkSpec spec, long callerTimeoutMillis) {
        mLog.event(EventName.JOB_ACCEPTED)
                .with(EventField.JOB, spec.id())
                .with(EventField.SERVICE, spec.service())
                .with(EventField.PRIORITY, spec.terms().priority())
                .with(EventField.OBJECTIVE, spec.objectiveMillis())
                .with(EventField.MILLISECONDS, callerTimeoutMillis)
                .info();
    }

    void jobSubmittedToLeader(
            JobId job, InstanceName leader, int submissionCount, int highestAttempt) {
        mLog.event(EventName.JOB_PASSED_ON)
                .with(EventField.JOB, job)
                .with(EventField.PEER, leader)
                .with(EventField.COUNT, submissionCount)
                .with(EventField.ATTEMPT, highestAttempt)
                .info();
    }

    void jobForwarded(JobId job, DataCentre dataCentre) {
        mLog.event(EventName.JOB_FORWARDED)
                .with(EventField.JOB, job)
                .with(EventField.PEER, dataCentre)
                .info();
    }

    void jobMoved(JobId job, Option<InstanceName> formerLeader, String reason) {
        mLog.event(EventName.JOB_MOVED)
                .with(EventField.JOB, job)
                .with(EventField.PEER, formerLeader.map(InstanceName::value).getOrElse(""))
                .with(EventField.REASON, reason)
                .info();
    }

    /** Logs what shows that tasks of a job of an earlier leader may be placed. */
    void inheritedJobReleased(JobId job, InheritedJobEvidence evidence, long waitedMillis) {
        mLog.event(EventName.INHERITED_JOB_RELEASED)
                .with(EventField.JOB, job)
                .with(EventField.REASON, toSlug(evidence))
                .with(EventField.MILLISECONDS, waitedMillis)
                .info();
    }

    void jobWithdrawn(JobId job, InstanceName home) {
        writeRunLines(job);
        mLog.event(EventName.JOB_WITHDRAWN)
                .with(EventField.JOB, job)
                .with(EventField.PEER, home)
                .info();
    }

    /**
     * Logs the buffered runs of a job that moves to the next leader, so that its history here can
     * be looked up.
     */
    void jobHandedOver(JobId job) {
        writeRunLines(job);
    }

    /**
     * Logs the end of a job at its leader.
     *
     * @param late true if it ended after its objective
     */
    void jobEnded(JobId job, WorkOutcome outcome, boolean late) {
        if (outcome.kind() == WorkOutcome.Kind.COMPLETE && !late) {
            long runs =
                    mRunLog.removeEntries(job).stream().filter(entry -> !entry.placed()).count();
            mLog.event(EventName.JOB_ENDED)
                    .with(EventField.JOB, job)
                    .with(EventField.OUTCOME, outcome.kind())
                    .with(EventField.REASON, outcome.reason())
                    .with(EventField.COUNT, runs)
                    .info();
            return;
        }
        writeRunLines(job);
        mLog.event(EventName.JOB_ENDED)
                .with(EventField.JOB, job)
                .with(EventField.OUTCOME, outcome.kind())
                .with(EventField.REASON, outcome.reason())
                .info();
    }

    void jobAnswered(WorkSpec job, WorkOutcome outcome, long tookMillis) {
        mMetrics.record(
                metrics ->
                        metrics.jobAnswered(
                                toSlug(outcome.kind()),
                                outcome.reason(),
                                job.terms().priority(),
                                tookMillis,
                                job.objectiveMillis()));
        mLog.event(EventName.JOB_ANSWERED)
                .with(EventField.JOB, job.id())
                .with(EventField.OUTCOME, outcome.kind())
                .with(EventField.REASON, outcome.reason())
                .with(EventField.MILLISECONDS, tookMillis)
                .info();
    }

    void jobStarted(int priority, long waitedMillis) {
        mMetrics.record(metrics -> metrics.jobStarted(priority, waitedMillis));
    }

    private static String toSlug(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Logs the start of a task.
     *
     * @param endLogged true if the end of its job will be logged; the line is then buffered until
     *     that end shows whether it is needed
     */
    void taskPlaced(
            TaskId task, int attempt, ServerId server, long expectedMillis, boolean endLogged) {
        bufferOrWrite(
                new RunLogBuffer.Entry(
                        mLog.nowMillis(), true, task, attempt, server, expectedMillis),
                endLogged);
    }

    private void bufferOrWrite(RunLogBuffer.Entry entry, boolean endLogged) {
        if (endLogged) {
            mRunLog.add(entry);
        } else {
            writeRunLines(entry);
        }
    }

    /** Logs and removes the buffered runs of a job. */
    private void writeRunLines(JobId job) {
        mRunLog.removeEntries(job).forEach(this::writeRunLines);
    }

    private void writeRunLines(RunLogBuffer.Entry entry) {
        EventLog.Line line =
                mLog.event(
                                entry.placed() ? EventName.TASK_PLACED : EventName.RUN_ENDED,
                                entry.atMillis())
                        .with(EventField.JOB, entry.task().job())
                        .with(EventField.TASK, entry.task())
                        .with(EventField.ATTEMPT, entry.attempt())
                        .with(EventField.SERVER, entry.server())
                        .with(EventField.MILLISECONDS, entry.runMillis());
        if (!entry.placed()) {
            line.with(EventField.OUTCOME, RunEnd.DONE);
        }
        line.info();
    }

    /** Logs a start command that has not started its task, after the buffered runs of its job. */
    void startFinished(ServerCommand.Start command, StartResult result) {
        if (result == StartResult.STARTED) {
            return;
        }
        writeRunLines(command.task().job());
        mLog.event(EventName.START_FAILED)
                .with(EventField.JOB, command.task().job())
                .with(EventField.TASK, command.task())
                .with(EventField.ATTEMPT, command.attempt())
                .with(EventField.SERVER, command.target().server())
                .with(EventField.OUTCOME, result)
                .info();
    }

    /** Logs a poll that was not answered as expected. */
    void pollFinished(ServerCommand.Poll command, PollResult result) {
        if (result.kind() == PollResult.Kind.ANSWERED) {
            return;
        }
        mLog.event(EventName.LOOK_FAILED)
                .with(EventField.SERVER, command.target().server())
                .with(EventField.TOKEN, command.target().fencingToken())
                .with(EventField.OUTCOME, result.kind())
                .info();
    }

    /**
     * Logs the end of a run.
     *
     * @param endLogged true if the end of its job will be logged; the line of a successful run is
     *     then buffered until that end shows whether it is needed
     */
    void runEnded(
            TaskId task,
            int attempt,
            ServerId server,
            RunEnd end,
            long tookMillis,
            long estimateMillis,
            boolean endLogged) {
        boolean done = end == RunEnd.DONE;
        mMetrics.record(metrics -> metrics.runEnded(toSlug(end), done, tookMillis, estimateMillis));
        if (done) {
            bufferOrWrite(
                    new RunLogBuffer.Entry(
                            mLog.nowMillis(), false, task, attempt, server, tookMillis),
                    endLogged);
            return;
        }
        writeRunLines(task.job());
        mLog.event(EventName.RUN_ENDED)
                .with(EventField.JOB, task.job())
                .with(EventField.TASK, task)
                .with(EventField.ATTEMPT, attempt)
                .with(EventField.SERVER, server)
                .with(EventField.OUTCOME, end)
                .with(EventField.MILLISECONDS, tookMillis)
                .info();
    }

    /**
     * Logs that the fleet is divided into a pool for each data centre from now on, or no longer.
     *
     * @param instances the number of instances that are registered or answer probes
     */
    void poolChanged(boolean spansDataCentres, int instances, boolean storedJobsPossible) {
        mLog.event(EventName.POOL_CHANGED)
                .with(EventField.OUTCOME, spansDataCentres ? "merged" : "divided")
                .with(EventField.COUNT, instances)
                .with(EventField.REASON, storedJobsPossible ? "stored-jobs" : "size")
                .info();
    }

    /** Logs the end of a stored job's run that an earlier leader started. */
    void storedRunEndFound(
            TaskId task, int attempt, ServerId server, RunEnd end, FoundEndTreatment treatment) {
        mLog.event(EventName.END_FOUND)
                .with(EventField.JOB, task.job())
                .with(EventField.TASK, task)
                .with(EventField.ATTEMPT, attempt)
                .with(EventField.SERVER, server)
                .with(EventField.OUTCOME, end)
                .with(EventField.REASON, toSlug(treatment))
                .info();
    }

    /**
     * Logs whether the group that this instance leads is a majority.
     *
     * @param group the number of instances that follow this one, with itself
     * @param registered the number of instances that are known to be registered
     */
    void majorityChanged(boolean isMajority, int group, int registered) {
        mLog.event(EventName.MAJORITY_CHANGED)
                .with(EventField.OUTCOME, isMajority ? "majority" : "minority")
                .with(EventField.COUNT, group)
                .with(EventField.BOUND, registered)
                .info();
    }

    /** Logs that a lease has to expire, since ends of stored jobs may not be saved here. */
    void leaseWithheld(ServerId server, int unsavedEnds) {
        mLog.event(EventName.LEASE_WITHHELD)
                .with(EventField.SERVER, server)
                .with(EventField.COUNT, unsavedEnds)
                .info();
    }

    /** Logs the servers that are listed as draining and were not before. */
    void serversListed(Collection<ServerEntry> before, Collection<ServerEntry> now) {
        Set<ServerId> known = new HashSet<>();
        before.stream().filter(ServerEntry::draining).forEach(entry -> known.add(entry.id()));
        for (ServerEntry entry : now) {
            if (entry.draining() && !known.contains(entry.id())) {
                mLog.event(EventName.SERVER_DRAINING).with(EventField.SERVER, entry.id()).info();
            }
        }
    }

    /**
     * Logs whether tasks wait until the store has confirmed the list of backend servers.
     *
     * @param listMillis the age of the list
     */
    void placementChanged(boolean isHeld, long listMillis) {
        mLog.event(EventName.PLACEMENT_CHANGED)
                .with(EventField.OUTCOME, isHeld ? "held" : "resumed")
                .with(EventField.MILLISECONDS, listMillis)
                .info();
    }

    void serverRestarted(ServerId server, long startedMillis) {
        mLog.event(EventName.SERVER_RESTARTED)
                .with(EventField.SERVER, server)
                .with(EventField.VERSION, startedMillis)
                .info();
    }

    void serverClaimChanged(ServerId server, boolean held, long token) {
        mLog.event(held ? EventName.SERVER_HELD : EventName.SERVER_RELEASED)
                .with(EventField.SERVER, server)
                .with(EventField.TOKEN, token)
                .info();
    }
}
