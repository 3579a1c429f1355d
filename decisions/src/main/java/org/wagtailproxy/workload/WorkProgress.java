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
 * @param scope the data centres in which earlier leaders may have started tasks, not null
 */
public record WorkProgress(
        List<TaskId> done,
        int highestAttempt,
        Option<Set<ServerId>> runsOn,
        DataCentreScope scope) {

    /** The progress of a job of which no task has been started. */
    public static final WorkProgress NONE =
            new WorkProgress(List.of(), 0, Option.some(Set.of()), DataCentreScope.EMPTY);

    /** Makes an immutable copy of the list. */
    public WorkProgress {
        done = List.copyOf(done);
    }

    /**
     * Creates a progress for which it is not known on which servers and in which data centres tasks
     * may still be running.
     *
     * @param done the tasks that are done, not null
     * @param highestAttempt the highest number that an attempt of any task may have
     * @return the progress, never null
     */
    public static WorkProgress of(List<TaskId> done, int highestAttempt) {
        return new WorkProgress(done, highestAttempt, Option.none(), DataCentreScope.ALL);
    }

    /**
     * Returns a copy with the servers on which tasks may still be running.
     *
     * @param servers the only backend servers that may run a task, not null
     * @return the changed progress, never null
     */
    public WorkProgress runningOnlyOn(Collection<ServerId> servers) {
        return new WorkProgress(done, highestAttempt, Option.some(Set.copyOf(servers)), scope);
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
                List.copyOf(allDone),
                Math.max(highestAttempt, other.highestAttempt),
                allServers,
                scope.union(other.scope));
    }

    /**
     * Returns a copy that accounts for attempts that a lost leader may have started on any server.
     *
     * @param attempts the number by which these may exceed the highest attempt, 0 or more
     * @return the raised progress, never null
     */
    public WorkProgress plusAttempts(int attempts) {
        return plusAttempts(attempts, DataCentreScope.ALL);
    }

    /**
     * Returns a copy that accounts for attempts that a lost leader may have started on the servers
     * of some data centres.
     *
     * @param attempts the number by which these may exceed the highest attempt, 0 or more
     * @param leaderScope the data centres, not null
     * @return the raised progress, never null
     */
    public WorkProgress plusAttempts(int attempts, DataCentreScope leaderScope) {
        return new WorkProgress(
                done, highestAttempt + attempts, Option.none(), scope.union(leaderScope));
    }

    /**
     * Returns a copy with the data centres in which earlier leaders may have started tasks.
     *
     * @param dataCentres the only data centres, not null
     * @return the changed progress, never null
     */
    public WorkProgress startedIn(DataCentreScope dataCentres) {
        return new WorkProgress(done, highestAttempt, runsOn, dataCentres);
    }
}
