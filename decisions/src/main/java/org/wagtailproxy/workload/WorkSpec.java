package org.wagtailproxy.workload;

import java.util.List;
import java.util.Objects;
import org.wagtailproxy.identity.ServiceName;

/**
 * Specifies a job as it is submitted to the dispatcher.
 *
 * @param id its id, not null
 * @param service the service whose backend servers run it, not null
 * @param payload the text that is passed to each task, not null
 * @param steps its steps, at least one
 * @param terms the terms of its queue, not null
 * @param storedIn the queue under which the job is stored until after its end (its final result),
 *     empty if its caller waits for the end instead; not null
 * @param longRunning true if its tasks are started again whenever they end, until the job is
 *     cancelled
 */
public record WorkSpec(
        JobId id,
        ServiceName service,
        String payload,
        List<StepSpec> steps,
        QueueTerms terms,
        String storedIn,
        boolean longRunning) {

    /** Bound of the tasks of a job; each takes memory as long as the job lasts. */
    public static final int MAX_TASKS = 100_000;

    /** Memory of a job and of its tracking, without its steps and texts, in bytes. */
    private static final int JOB_BYTES = 1000;

    /** Memory of a step and of its tracking, without its texts, in bytes. */
    private static final int STEP_BYTES = 320;

    /** Memory of an entry in the list of preceding steps, in bytes. */
    private static final int PREDECESSOR_BYTES = 20;

    /** Memory of the state of a task, in bytes. */
    private static final int TASK_BYTES = 8;

    /** Memory of a character of a text, in bytes. */
    private static final int CHAR_BYTES = 2;

    /** Validates the components. */
    public WorkSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(storedIn, "storedIn");
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job needs a step");
        }
        long tasks = 0;
        for (int position = 0; position < steps.size(); position++) {
            tasks += steps.get(position).tasks();
            for (int predecessor : steps.get(position).after()) {
                if (predecessor < 0 || predecessor >= position) {
                    throw new IllegalArgumentException("a step may only follow earlier steps");
                }
            }
        }
        if (tasks > MAX_TASKS) {
            throw new IllegalArgumentException("more than " + MAX_TASKS + " tasks");
        }
    }

    /**
     * Creates a job whose caller waits for its end.
     *
     * @param id its id, not null
     * @param service the service whose backend servers run it, not null
     * @param payload the text that is passed to each task, not null
     * @param steps its steps, at least one
     * @param terms the terms of its queue, not null
     * @return the job, never null
     */
    public static WorkSpec of(
            JobId id, ServiceName service, String payload, List<StepSpec> steps, QueueTerms terms) {
        return new WorkSpec(id, service, payload, steps, terms, "", false);
    }

    /**
     * Returns a copy that is stored.
     *
     * @param queue the queue under which it is stored, not null or empty
     * @return the stored job, never null
     */
    public WorkSpec withStorage(String queue) {
        return new WorkSpec(id, service, payload, steps, terms, queue, longRunning);
    }

    /**
     * Returns a copy whose tasks run until the job is cancelled.
     *
     * @return the long-running job, never null
     */
    public WorkSpec asLongRunning() {
        return new WorkSpec(id, service, payload, steps, terms, storedIn, true);
    }

    /**
     * Checks whether the job is stored.
     *
     * @return false if its caller waits for its end
     */
    public boolean isStored() {
        return !storedIn.isEmpty();
    }

    /**
     * Estimates the memory that the job takes up while it is open.
     *
     * @return the memory in bytes
     */
    public long memoryBytes() {
        long bytes = JOB_BYTES + (long) CHAR_BYTES * payload.length();
        for (StepSpec step : steps) {
            bytes += STEP_BYTES + (long) PREDECESSOR_BYTES * step.after().size();
            bytes += (long) TASK_BYTES * step.tasks();
            bytes += (long) CHAR_BYTES * (step.label().length() + step.rack().length());
        }
        return bytes;
    }

    /**
     * Returns the estimated run time of the longest chain of dependent steps.
     *
     * @return the time in milliseconds, 1 or more
     */
    public long criticalPathMillis() {
        long[] endMillis = new long[steps.size()];
        long longestMillis = 1;
        for (int position = 0; position < endMillis.length; position++) {
            long startMillis = 0;
            for (int predecessor : steps.get(position).after()) {
                startMillis = Math.max(startMillis, endMillis[predecessor]);
            }
            endMillis[position] = startMillis + steps.get(position).estimateMillis();
            longestMillis = Math.max(longestMillis, endMillis[position]);
        }
        return longestMillis;
    }

    /**
     * Returns the time after submission within which the job should be answered.
     *
     * @return the time in milliseconds
     */
    public long objectiveMillis() {
        return Math.round(terms.slackFactor() * criticalPathMillis()) + terms.targetMillis();
    }
}
