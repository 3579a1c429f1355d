package org.wagtailproxy.dispatcher;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
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
        job.failures()
                .forEach(
                        (task, failures) ->
                                record.addFailures(task.step())
                                        .addFailures(task.index())
                                        .addFailures(failures));
        return record.build().toByteArray();
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
        Map<TaskId, Integer> failures = new HashMap<>();
        for (int position = 0; position + 2 < record.getFailuresCount(); position += 3) {
            int step = record.getFailures(position);
            TaskId task = TaskId.of(spec.id(), step, record.getFailures(position + 1));
            failures.put(task, record.getFailures(position + 2));
        }
        return new StoredJob(spec, state(record.getState()), done, failures);
    }

    static Either<Failure, KeeperRecord> decodeKeeper(byte[] value) {
        try {
            return Either.right(KeeperRecord.parseFrom(value));
        } catch (InvalidProtocolBufferException unreadable) {
            return Either.left(Failure.of(FailureKind.MALFORMED_REQUEST, unreadable.getMessage()));
        }
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
