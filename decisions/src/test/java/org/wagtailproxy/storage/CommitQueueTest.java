package org.wagtailproxy.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkSpec;

class CommitQueueTest {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final CommitQueue mQueue = new CommitQueue();
    private long mNow = 1000 * NANOS_PER_MILLI;

    private static JobChange change(int job, long number) {
        WorkSpec spec =
                WorkSpec.of(
                                new JobId(String.format("%016x", job)),
                                ServiceName.of("desk"),
                                "text",
                                List.of(StepSpec.of(1, ResourceAmount.of(1, 1, 0), 10)),
                                QueueTerms.of(0, 1.6, 60, 3))
                        .withStorage("queue");
        return new JobChange(StoredJob.of(spec), number, false);
    }

    private Option<List<JobChange>> nextBatchAfterPause() {
        mNow += 20 * NANOS_PER_MILLI;
        return mQueue.nextBatch(mNow);
    }

    @Test
    void testChangesAreBatchedWhileAWriteIsInFlight() {
        mQueue.add(change(1, 1));
        assertThat(nextBatchAfterPause().get(), hasSize(1));
        for (int job = 2; job < 50; job++) {
            mQueue.add(change(job, 1));
        }
        assertThat(nextBatchAfterPause().isEmpty(), is(true));
        assertThat(mQueue.completeBatch(), hasSize(1));
        assertThat(nextBatchAfterPause().get(), hasSize(CommitQueue.MAX_JOBS_PER_WRITE));
        mQueue.completeBatch();
        assertThat(nextBatchAfterPause().get(), hasSize(17));
    }

    @Test
    void testAThousandChangesASecondStayWithinHalfOfTheRate() {
        int writes = 0;
        for (int millis = 0; millis < 1000; millis++) {
            mNow += NANOS_PER_MILLI;
            mQueue.add(change(millis, 1));
            if (mQueue.nextBatch(mNow).isDefined()) {
                writes++;
                mQueue.completeBatch();
            }
        }
        assertThat(writes <= 200, is(true));
    }

    @Test
    void testRequeuedChangeDoesNotReplaceANewerOne() {
        mQueue.add(change(1, 1));
        mQueue.add(change(2, 1));
        nextBatchAfterPause();
        mQueue.add(change(1, 2));
        mQueue.requeueBatch(10, mNow);
        List<JobChange> again = nextBatchAfterPause().get();
        assertThat(again, hasSize(2));
        assertThat(again.get(0).changeNumber(), is(2L));
        assertThat(again.get(1).changeNumber(), is(1L));
    }
}
