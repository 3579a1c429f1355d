package org.wagtailproxy.dispatcher;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.limits.JobMemory;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

/**
 * The submissions of stored jobs that came before the stored jobs were read. Confined to the event
 * loop.
 */
final class EarlySubmissions {

    /** Time for which a submission waits; it is refused after that. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    private final List<Submission> mSubmissions = new ArrayList<>();

    /** A job and what receives its outcome. */
    record Submission(
            WorkSpec spec, long arrivedNanos, Consumer<Either<WorkProgress, WorkOutcome>> answer) {}

    /** Keeps a submission. Returns false if there is not enough memory for it. */
    boolean add(Submission submission, JobMemory memory) {
        long bytes = submission.spec().memoryBytes();
        for (Submission other : mSubmissions) {
            bytes += other.spec().memoryBytes();
        }
        return memory.hasCapacity(bytes) && mSubmissions.add(submission);
    }

    /** Removes and returns all submissions. */
    List<Submission> removeAll() {
        List<Submission> submissions = List.copyOf(mSubmissions);
        mSubmissions.clear();
        return submissions;
    }

    /** Removes and returns the submissions that have waited too long. */
    List<Submission> removeOverdue(long nowNanos) {
        List<Submission> overdue = new ArrayList<>();
        for (Submission submission : mSubmissions) {
            if (nowNanos - submission.arrivedNanos() > MAX_WAIT_NANOS) {
                overdue.add(submission);
            }
        }
        mSubmissions.removeAll(overdue);
        return overdue;
    }
}
