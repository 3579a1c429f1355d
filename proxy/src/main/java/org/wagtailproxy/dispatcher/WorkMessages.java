package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.wire.SubmitWork;
import org.wagtailproxy.wire.WorkAnswer;
import org.wagtailproxy.wire.WorkStep;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Converts jobs, progress and outcomes to the messages between instances and back. */
final class WorkMessages {

    private WorkMessages() {}

    static SubmitWork.Builder submit(WorkSpec spec, WorkProgress progress) {
        SubmitWork.Builder message =
                SubmitWork.newBuilder()
                        .setJob(spec.id().value())
                        .setService(spec.service().value())
                        .setPayload(spec.payload())
                        .setPriority(spec.terms().priority())
                        .setSlackFactor(spec.terms().slackFactor())
                        .setTargetMillis(spec.terms().targetMillis())
                        .setMostFailures(spec.terms().maxFailures())
                        .setStoredIn(spec.storedIn())
                        .setLasting(spec.longRunning())
                        .setProgress(progress(progress));
        for (StepSpec step : spec.steps()) {
            message.addSteps(
                    WorkStep.newBuilder()
                            .setTasks(step.tasks())
                            .setCpuMillis(step.demand().cpuMillis())
                            .setMemoryMegabytes(step.demand().memoryMegabytes())
                            .setAccelerators(step.demand().accelerators())
                            .setEstimateMillis(step.estimateMillis())
                            .addAllAfter(step.after())
                            .setLabel(step.label())
                            .setRack(step.rack())
                            .setMostPerServer(step.maxTasksPerServer()));
        }
        return message;
    }

    /** Converts a message to a job; fails on invalid values, which another version may send. */
    static Either<Failure, WorkSpec> spec(SubmitWork message) {
        try {
            List<StepSpec> steps = new ArrayList<>();
            for (WorkStep step : message.getStepsList()) {
                ResourceAmount demand =
                        ResourceAmount.of(
                                step.getCpuMillis(),
                                step.getMemoryMegabytes(),
                                step.getAccelerators());
                steps.add(
                        new StepSpec(
                                step.getTasks(),
                                demand,
                                step.getEstimateMillis(),
                                step.getAfterList(),
                                step.getLabel(),
                                step.getRack(),
                                step.getMostPerServer()));
            }
            QueueTerms terms =
                    QueueTerms.of(
                            message.getPriority(),
                            message.getSlackFactor(),
                            message.getTargetMillis(),
                            message.getMostFailures());
            return Either.right(
                    new WorkSpec(
                            new JobId(message.getJob()),
                            ServiceName.of(message.getService()),
                            message.getPayload(),
                            steps,
                            terms,
                            message.getStoredIn(),
                            message.getLasting()));
        } catch (IllegalArgumentException invalid) {
            return Either.left(Failure.of(FailureKind.MALFORMED_REQUEST, invalid.getMessage()));
        }
    }

    static org.wagtailproxy.wire.WorkProgress progress(WorkProgress progress) {
        org.wagtailproxy.wire.WorkProgress.Builder message =
                org.wagtailproxy.wire.WorkProgress.newBuilder()
                        .setHighestAttempt(progress.highestAttempt())
                        .setScope(scope(progress.scope()));
        for (TaskId task : progress.done()) {
            message.addDone(task.step()).addDone(task.index());
        }
        progress.runsOn()
                .forEach(
                        servers -> {
                            message.setRunsOnKnown(true);
                            servers.forEach(server -> message.addRunsOn(server.value()));
                        });
        return message.build();
    }

    /**
     * Converts a message to the progress of a job. Tasks of one that cannot be read may have been
     * started on any server.
     */
    static WorkProgress progress(JobId job, org.wagtailproxy.wire.WorkProgress message) {
        try {
            return readProgress(job, message);
        } catch (IllegalArgumentException unreadable) {
            return WorkProgress.of(List.of(), Math.max(1, message.getHighestAttempt()));
        }
    }

    private static WorkProgress readProgress(
            JobId job, org.wagtailproxy.wire.WorkProgress message) {
        List<TaskId> done = new ArrayList<>();
        for (int position = 0; position + 1 < message.getDoneCount(); position += 2) {
            done.add(TaskId.of(job, message.getDone(position), message.getDone(position + 1)));
        }
        WorkProgress progress =
                WorkProgress.of(done, message.getHighestAttempt())
                        .startedIn(scope(message.getScope()));
        return message.getRunsOnKnown()
                ? progress.runningOnlyOn(
                        message.getRunsOnList().stream().map(ServerId::of).toList())
                : progress;
    }

    static org.wagtailproxy.wire.DataCentreScope scope(DataCentreScope scope) {
        org.wagtailproxy.wire.DataCentreScope.Builder message =
                org.wagtailproxy.wire.DataCentreScope.newBuilder().setUnlisted(scope.unlisted());
        scope.dataCentres()
                .forEach(
                        names -> {
                            message.setLimited(true);
                            names.forEach(name -> message.addDataCentres(name.value()));
                        });
        return message.build();
    }

    /** Converts a message to a scope; one that cannot be read may contain any data centre. */
    static DataCentreScope scope(org.wagtailproxy.wire.DataCentreScope message) {
        List<String> names = message.getDataCentresList();
        if (!message.getLimited() || !names.stream().allMatch(Names::isName)) {
            return DataCentreScope.ALL.withUnlisted(message.getUnlisted());
        }
        return DataCentreScope.of(names.stream().map(DataCentre::of).collect(Collectors.toSet()))
                .withUnlisted(message.getUnlisted());
    }

    static WorkAnswer answer(WorkOutcome outcome) {
        WorkAnswer.Kind kind =
                switch (outcome.kind()) {
                    case COMPLETE -> WorkAnswer.Kind.COMPLETE;
                    case ACCEPTED -> WorkAnswer.Kind.ACCEPTED;
                    case FAILED -> WorkAnswer.Kind.FAILED;
                    case REFUSED -> WorkAnswer.Kind.REFUSED;
                    case ABANDONED -> WorkAnswer.Kind.ABANDONED;
                };
        return WorkAnswer.newBuilder()
                .setKind(kind)
                .setReason(outcome.reason())
                .setRetryAfterMillis(outcome.retryAfterMillis())
                .build();
    }

    static WorkAnswer moved(WorkProgress progress) {
        return WorkAnswer.newBuilder()
                .setKind(WorkAnswer.Kind.MOVED)
                .setProgress(progress(progress))
                .build();
    }

    static WorkOutcome outcome(WorkAnswer message) {
        WorkOutcome.Kind kind =
                switch (message.getKind()) {
                    case COMPLETE -> WorkOutcome.Kind.COMPLETE;
                    case ACCEPTED -> WorkOutcome.Kind.ACCEPTED;
                    case FAILED -> WorkOutcome.Kind.FAILED;
                    case REFUSED -> WorkOutcome.Kind.REFUSED;
                    default -> WorkOutcome.Kind.ABANDONED;
                };
        return new WorkOutcome(kind, message.getReason(), message.getRetryAfterMillis());
    }
}
