package org.wagtailproxy.workload;

import java.util.List;
import java.util.Objects;
import org.wagtailproxy.identity.ServiceName;

/**
 * A job as it is handed to the dispatcher.
 *
 * @param id its id, not null
 * @param service whose backend servers run it, not null
 * @param payload the text that each task is started with, not null
 * @param steps its steps, at least one
 * @param terms what its queue grants it, not null
 * @param storedIn the queue that keeps it in the store until after its end, empty if its caller
 *     waits for the end instead; not null
 * @param longRunning true if its tasks run until the job is cancelled, however often they end
 */
public record WorkSpec(
        JobId id,
        ServiceName service,
        String payload,
        List<StepSpec> steps,
        QueueTerms terms,
        String storedIn,
        boolean longRunning) {

    /** Checks the components. */
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
    }

    /**
     * Creates a job whose caller waits for its end.
     *
     * @param id its id, not null
     * @param service whose backend servers run it, not null
     * @param payload the text that each task is started with, not null
     * @param steps its steps, at least one
     * @param terms what its queue grants it, not null
     * @return the job, never null
     */
    public static WorkSpec of(
            JobId id, ServiceName service, String payload, List<StepSpec> steps, QueueTerms terms) {
        return new WorkSpec(id, service, payload, steps, terms, "", false);
    }

    /**
     * Makes the job one that is stored.
     *
     * @param queue the queue that keeps it, not null or empty
     * @return the stored job, never null
     */
    public WorkSpec withStorage(String queue) {
        return new WorkSpec(id, service, payload, steps, terms, queue, longRunning);
    }

    /**
     * Makes the job one whose tasks run until it is cancelled.
     *
     * @return the lasting job, never null
     */
    public WorkSpec asLongRunning() {
        return new WorkSpec(id, service, payload, steps, terms, storedIn, true);
    }

    /**
     * Tests whether the job is kept in the store.
     *
     * @return false if its caller waits for its end
     */
    public boolean isStored() {
        return !storedIn.isEmpty();
    }

    /**
     * Returns the longest chain of estimated work.
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
     * Returns the time within which callers expect the answer.
     *
     * @return the time in milliseconds
     */
    public long objectiveMillis() {
        return Math.round(terms.slackFactor() * criticalPathMillis()) + terms.targetMillis();
    }
}
