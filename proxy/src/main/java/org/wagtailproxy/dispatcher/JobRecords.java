package org.wagtailproxy.dispatcher;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.wire.JobRecord;
import org.wagtailproxy.wire.KeeperRecord;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Converts stored jobs to the values in the store and back. */
final class JobRecords {

    private JobRecords() {}

    static byte[] encode(StoredJob job) {
        JobRecord.Builder record =
                JobRecord.newBuilder()
                        .setWork(WorkMessages.submit(job.spec(), WorkProgress.NONE))
                        .setState(state(job.state()));
        for (TaskId task : job.done()) {
            record.addDone(task.step()).addDone(task.index());
        }
        job.failedAttempts().forEach((task, attempts) -> addFailedAttempts(record, task, attempts));
        return record.build().toByteArray();
    }

    private static void addFailedAttempts(
            JobRecord.Builder record, TaskId task, Set<Integer> attempts) {
        record.addFailures(task.step()).addFailures(task.index()).addFailures(attempts.size());
        for (int attempt : attempts) {
            record.addFailedAttempts(task.step())
                    .addFailedAttempts(task.index())
                    .addFailedAttempts(attempt);
        }
    }

    static Either<Failure, StoredJob> decode(byte[] value) {
        try {
            JobRecord record = JobRecord.parseFrom(value);
            return WorkMessages.spec(record.getWork()).map(spec -> toStoredJob(spec, record));
        } catch (InvalidProtocolBufferException unreadable) {
            return Either.left(Failure.of(FailureKind.MALFORMED_REQUEST, unreadable.getMessage()));
        }
    }

    private static StoredJob toStoredJob(WorkSpec spec, JobRecord record) {
        List<TaskId> done = new ArrayList<>();
        for (int position = 0; position + 1 < record.getDoneCount(); position += 2) {
            int step = record.getDone(position);
            done.add(TaskId.of(spec.id(), step, record.getDone(position + 1)));
        }
        return new StoredJob(spec, state(record.getState()), done, failedAttempts(spec, record));
    }

    private static Map<TaskId, Set<Integer>> failedAttempts(WorkSpec spec, JobRecord record) {
        Map<TaskId, Set<Integer>> failed = new HashMap<>();
        for (int position = 0; position + 2 < record.getFailedAttemptsCount(); position += 3) {
            int step = record.getFailedAttempts(position);
            TaskId task = TaskId.of(spec.id(), step, record.getFailedAttempts(position + 1));
            failed.computeIfAbsent(task, key -> new HashSet<>())
                    .add(record.getFailedAttempts(position + 2));
        }
        for (int position = 0; position + 2 < record.getFailuresCount(); position += 3) {
            int step = record.getFailures(position);
            TaskId task = TaskId.of(spec.id(), step, record.getFailures(position + 1));
            int failures = record.getFailures(position + 2);
            Set<Integer> attempts = failed.computeIfAbsent(task, key -> new HashSet<>());
            // An earlier build records only the number; its first attempts are numbered from 1.
            for (int attempt = 1; attempts.size() < failures; attempt++) {
                attempts.add(attempt);
            }
        }
        return failed;
    }

    static Either<Failure, KeeperRecord> decodeKeeper(byte[] value) {
        try {
            return Either.right(KeeperRecord.parseFrom(value));
        } catch (InvalidProtocolBufferException unreadable) {
            return Either.left(Failure.of(FailureKind.MALFORMED_REQUEST, unreadable.getMessage()));
        }
    }

    /** Adds sets of electors to the record of a coordinator. */
    static void addElectors(KeeperRecord.Builder record, Collection<Set<InstanceName>> electors) {
        for (Set<InstanceName> names : electors) {
            KeeperRecord.Electors.Builder set = KeeperRecord.Electors.newBuilder();
            names.forEach(name -> set.addNames(name.value()));
            record.addElectors(set);
        }
    }

    /** Returns the sets of electors that the record of a coordinator names. */
    static Set<Set<InstanceName>> electors(KeeperRecord record) {
        Set<Set<InstanceName>> electors = new LinkedHashSet<>();
        for (KeeperRecord.Electors set : record.getElectorsList()) {
            Set<InstanceName> names = new TreeSet<>();
            set.getNamesList().stream()
                    .filter(Names::isName)
                    .forEach(name -> names.add(InstanceName.of(name)));
            electors.add(names);
        }
        return electors;
    }

    private static JobRecord.State state(StoredJob.State state) {
        return switch (state) {
            case OPEN -> JobRecord.State.OPEN;
            case COMPLETE -> JobRecord.State.COMPLETE;
            case FAILED -> JobRecord.State.FAILED;
            case CANCELLED -> JobRecord.State.CANCELLED;
        };
    }

    private static StoredJob.State state(JobRecord.State state) {
        return switch (state) {
            case COMPLETE -> StoredJob.State.COMPLETE;
            case FAILED -> StoredJob.State.FAILED;
            case CANCELLED -> StoredJob.State.CANCELLED;
            default -> StoredJob.State.OPEN;
        };
    }
}
