package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.workload.TaskId;

/** Runs on a backend server that another instance started and no job here accounts for. */
final class OrphanedRuns {

    private final Map<TaskId, Orphan> mRuns = new HashMap<>();

    /** A run, and since when it is known or was last ordered to stop. */
    private record Orphan(RunReport report, long sinceNanos) {}

    boolean isEmpty() {
        return mRuns.isEmpty();
    }

    void clear() {
        mRuns.clear();
    }

    void remove(TaskId task) {
        mRuns.remove(task);
    }

    /** Takes over what the newest list shows; runs that are known already keep their time. */
    void update(List<RunReport> listed, long nowNanos) {
        Map<TaskId, Orphan> runs = new HashMap<>();
        for (RunReport report : listed) {
            Orphan known = mRuns.get(report.task());
            runs.put(report.task(), known != null ? known : new Orphan(report, nowNanos));
        }
        mRuns.clear();
        mRuns.putAll(runs);
    }

    /** Offers each run with the time of its report, and removes those that are taken. */
    void offer(BiPredicate<RunReport, Long> adopter) {
        mRuns.values().removeIf(orphan -> adopter.test(orphan.report(), orphan.sinceNanos()));
    }

    /**
     * Returns the runs that nobody has taken for a time, once in that time.
     *
     * @param mayStop tests whether a run is to be returned; others stay overdue
     */
    List<RunReport> takeOverdue(long nanos, long nowNanos, Predicate<RunReport> mayStop) {
        List<RunReport> overdue = new ArrayList<>();
        for (Map.Entry<TaskId, Orphan> each : mRuns.entrySet()) {
            RunReport report = each.getValue().report();
            if (nowNanos - each.getValue().sinceNanos() > nanos && mayStop.test(report)) {
                each.setValue(new Orphan(report, nowNanos));
                overdue.add(report);
            }
        }
        return overdue;
    }
}
