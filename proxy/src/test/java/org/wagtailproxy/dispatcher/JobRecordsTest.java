package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.wire.JobRecord;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/** Tests the values of stored jobs in the store, also those that earlier builds have written. */
class JobRecordsTest {

    private static final JobId ID = new JobId("0000000000000001");
    private static final TaskId FIRST = TaskId.of(ID, 0, 0);
    private static final TaskId SECOND = TaskId.of(ID, 0, 1);

    private static WorkSpec spec() {
        return WorkSpec.of(
                        ID,
                        ServiceName.of("booking"),
                        "text",
                        List.of(StepSpec.of(2, ResourceAmount.of(14_000, 64, 0), 60)),
                        QueueTerms.of(0, 1.6, 60, 3))
                .withStorage("queue");
    }

    @Test
    void testFailedAttemptsAreRestored() {
        Map<TaskId, Set<Integer>> failed =
                Map.of(FIRST, Set.of(1_048_577, 1_048_640), SECOND, Set.of(1_048_578));
        StoredJob job = new StoredJob(spec(), StoredJob.State.OPEN, List.of(FIRST), failed);
        StoredJob decoded = JobRecords.decode(JobRecords.encode(job)).get();
        assertThat(decoded.failedAttempts(), is(failed));
        assertThat(decoded.done(), is(List.of(FIRST)));
    }

    @Test
    void testNumberOfFailuresOfEarlierBuildIsRestored() {
        JobRecord record =
                JobRecord.newBuilder()
                        .setWork(WorkMessages.submit(spec(), WorkProgress.NONE))
                        .addAllFailures(List.of(0, 1, 2))
                        .build();
        StoredJob decoded = JobRecords.decode(record.toByteArray()).get();
        assertThat(decoded.failedAttempts().get(SECOND), hasSize(2));
        assertThat(decoded.failedAttempts().containsKey(FIRST), is(false));
    }

    /** A build that does not know the attempts takes over between two that do. */
    @Test
    void testNumberOfFailuresIsRecordedForEarlierBuilds() throws Exception {
        StoredJob job =
                new StoredJob(
                        spec(), StoredJob.State.OPEN, List.of(), Map.of(SECOND, Set.of(7, 9)));
        JobRecord record = JobRecord.parseFrom(JobRecords.encode(job));
        assertThat(record.getFailuresList(), is(List.of(0, 1, 2)));
    }
}
