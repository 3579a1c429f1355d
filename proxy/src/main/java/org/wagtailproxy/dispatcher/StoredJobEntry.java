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

/** A stored job and who waits for what becomes of it. Confined to the event loop. */
final class StoredJobEntry {

    StoredJob mJob;

    /** The state that the store has, none while the job is not accepted. */
    Option<StoredJob.State> mSavedState = Option.none();

    long mEndedNanos;
    final List<Consumer<Either<WorkProgress, WorkOutcome>>> mSubmitAnswers = new ArrayList<>();
    final List<Consumer<JobCondition>> mCancelAnswers = new ArrayList<>();
    final List<WaitingQuery> mWaitingQueries = new ArrayList<>();

    StoredJobEntry(StoredJob job) {
        mJob = job;
    }

    /** A question that waits; it is answered once. */
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
