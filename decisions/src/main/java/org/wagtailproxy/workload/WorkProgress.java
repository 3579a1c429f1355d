package org.wagtailproxy.workload;

import com.google.common.collect.Sets;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.wagtailproxy.fleet.ServerId;

/**
 * Represents the progress of a job under an earlier leader, so that the next one runs no task
 * twice.
 *
 * @param done the tasks that are done, not null
 * @param highestAttempt the highest number that an attempt of any task may have, 0 if no task was
 *     started
 * @param runsOn the only backend servers on which a task may still be running, none if they are not
 *     known
 */
public record WorkProgress(List<TaskId> done, int highestAttempt, Option<Set<ServerId>> runsOn) {

    /** The progress of a job of which no task has been started. */
    public static final WorkProgress NONE = new WorkProgress(List.of(), 0, Option.some(Set.of()));

    /** Makes an immutable copy of the list. */
    public WorkProgress {
        done = List.copyOf(done);
    }

    /**
     * Creates a progress for which it is not known on which servers tasks may still be running.
     *
     * @param done the tasks that are done, not null
     * @param highestAttempt the highest number that an attempt of any task may have
     * @return the progress, never null
     */
    public static WorkProgress of(List<TaskId> done, int highestAttempt) {
        return new WorkProgress(done, highestAttempt, Option.none());
    }

    /**
     * Returns a copy with the servers on which tasks may still be running.
     *
     * @param servers the only backend servers that may run a task, not null
     * @return the changed progress, never null
     */
    public WorkProgress runningOnlyOn(Collection<ServerId> servers) {
        return new WorkProgress(done, highestAttempt, Option.some(Set.copyOf(servers)));
    }

    /**
     * Merges what two leaders report of the same job. Tasks may run wherever either of them says.
     *
     * @param other the other progress, not null
     * @return the merged progress, never null
     */
    public WorkProgress merge(WorkProgress other) {
        Set<TaskId> allDone = new LinkedHashSet<>(done);
        allDone.addAll(other.done);
        Option<Set<ServerId>> allServers =
                runsOn.flatMap(
                        servers ->
                                other.runsOn.map(
                                        others -> Sets.union(servers, others).immutableCopy()));
        return new WorkProgress(
                List.copyOf(allDone), Math.max(highestAttempt, other.highestAttempt), allServers);
    }

    /**
     * Returns a copy that accounts for attempts that a lost leader may have started on any server.
     *
     * @param attempts the number by which these may exceed the highest attempt, 0 or more
     * @return the raised progress, never null
     */
    public WorkProgress plusAttempts(int attempts) {
        return new WorkProgress(done, highestAttempt + attempts, Option.none());
    }
}
