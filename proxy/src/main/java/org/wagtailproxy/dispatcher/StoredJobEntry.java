package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.wagtailproxy.workload.JobCondition;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;

/**
 * A stored job and the answers that are due once its state is stored. Confined to the event loop.
 */
final class StoredJobEntry {

    StoredJob mJob;

    /** The state in the store, none while the job is not stored yet. */
    Option<StoredJob.State> mSavedState = Option.none();

    long mEndedNanos;

    /** The memory that is counted for the job, in bytes. */
    long mMemoryBytes;

    final List<Consumer<Either<WorkProgress, WorkOutcome>>> mSubmitAnswers = new ArrayList<>();
    final List<Consumer<JobCondition>> mCancelAnswers = new ArrayList<>();
    final List<WaitingQuery> mWaitingQueries = new ArrayList<>();

    StoredJobEntry(StoredJob job) {
        mJob = job;
    }

    /** A query that waits for the end of the job; only the first answer is delivered. */
    static final class WaitingQuery {
        private Option<Consumer<JobCondition>> mAnswer;

        WaitingQuery(Consumer<JobCondition> answer) {
            mAnswer = Option.some(answer);
        }

        void answer(JobCondition condition) {
            Option<Consumer<JobCondition>> answer = mAnswer;
            mAnswer = Option.none();
            answer.forEach(waiting -> waiting.accept(condition));
        }
    }
}
