package org.wagtailproxy.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkSpec;

/** Guards against jobs that take up the heap, and against bounds that refuse the usual ones. */
class JobMemoryTest {

    private static final InstanceLimits LIMITS = InstanceLimits.of(64 * 1024 * 1024, 2212);

    private static StoredJob storedJob(String payload, int tasks) {
        return StoredJob.of(
                WorkSpec.of(
                                new JobId("0123456789abcdef"),
                                ServiceName.of("despacho"),
                                payload,
                                List.of(StepSpec.of(tasks, ResourceAmount.of(14_000, 64, 0), 60)),
                                QueueTerms.of(0, 1.6, 60, 2))
                        .withStorage("queue"));
    }

    @Test
    void testEndedJobsOfTheRetentionTimeLeaveMemoryForOpenOnes() {
        StoredJob job = storedJob("x".repeat(4000), 4);
        long endedBytes =
                job.withState(StoredJob.State.COMPLETE).withoutWork().memoryBytes() * 98 * 150;
        JobMemory memory = JobMemory.of(LIMITS.storedJobMemoryBytes());
        memory.add(endedBytes);
        assertThat(memory.hasCapacity(400 * job.memoryBytes()), is(true));
        assertThat(memory.hasCapacity(2000 * job.memoryBytes()), is(false));
        memory.release(endedBytes);
        assertThat(memory.usedBytes(), is(0L));
    }

    @Test
    void testEndedJobKeepsWhatIsAskedFor() {
        StoredJob ended =
                storedJob("x".repeat(4000), 4).withState(StoredJob.State.FAILED).withoutWork();
        assertThat(ended.spec().id(), is(new JobId("0123456789abcdef")));
        assertThat(ended.spec().storedIn(), is("queue"));
        assertThat(ended.state(), is(StoredJob.State.FAILED));
        assertThat(ended.spec().payload(), is(""));
    }

    @Test
    void testJobOfManyTasksCountsForWhatItTakesUp() {
        long few = storedJob("x", 8).spec().memoryBytes();
        long many = storedJob("x", 100_000).spec().memoryBytes();
        assertThat(few, is(lessThan(2000L)));
        assertThat(many, is(greaterThan(800_000L)));
    }
}
