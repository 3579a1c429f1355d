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

    private final Map<TaskId, Foreign> mRuns = new HashMap<>();

    /** A run, and since when it is known or was last ordered to stop. */
    private record Foreign(RunReport report, long sinceNanos) {}

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
    void replace(List<RunReport> listed, long nowNanos) {
        Map<TaskId, Foreign> runs = new HashMap<>();
        for (RunReport report : listed) {
            Foreign known = mRuns.get(report.task());
            runs.put(report.task(), known != null ? known : new Foreign(report, nowNanos));
        }
        mRuns.clear();
        mRuns.putAll(runs);
    }

    /** Offers each run with the time of its report, and removes those that are taken. */
    void offer(BiPredicate<RunReport, Long> taker) {
        mRuns.values().removeIf(foreign -> taker.test(foreign.report(), foreign.sinceNanos()));
    }

    /**
     * Returns the runs that nobody has taken for a time, once in that time.
     *
     * @param stoppable tests whether a run is to be returned; others stay overdue
     */
    List<RunReport> overdue(long nanos, long nowNanos, Predicate<RunReport> stoppable) {
        List<RunReport> overdue = new ArrayList<>();
        for (Map.Entry<TaskId, Foreign> each : mRuns.entrySet()) {
            RunReport report = each.getValue().report();
            if (nowNanos - each.getValue().sinceNanos() > nanos && stoppable.test(report)) {
                each.setValue(new Foreign(report, nowNanos));
                overdue.add(report);
            }
        }
        return overdue;
    }
}
