package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.workload.TaskId;

/** Tracks the runs on a backend server that another instance started and no job here adopted. */
final class OrphanedRuns {

    private final Map<TaskId, Orphan> mRuns = new HashMap<>();

    /** A run and when it was first reported or last returned as overdue. */
    private record Orphan(RunReport report, long sinceNanos) {

        private boolean isAttempt(int attempt) {
            return report.attempt() == attempt;
        }
    }

    boolean isEmpty() {
        return mRuns.isEmpty();
    }

    void clear() {
        mRuns.clear();
    }

    void remove(TaskId task, int attempt) {
        mRuns.computeIfPresent(task, (id, run) -> run.isAttempt(attempt) ? null : run);
    }

    /** Replaces the runs by those of the newest report. Known runs keep their time. */
    void update(List<RunReport> listed, long nowNanos) {
        Map<TaskId, Orphan> runs = new HashMap<>();
        for (RunReport report : listed) {
            Orphan known = mRuns.get(report.task());
            boolean isKnown = known != null && known.isAttempt(report.attempt());
            runs.put(report.task(), isKnown ? known : new Orphan(report, nowNanos));
        }
        mRuns.clear();
        mRuns.putAll(runs);
    }

    /** Offers each run with the time of its report, and removes those that are adopted. */
    void offer(BiPredicate<RunReport, Long> adopter) {
        mRuns.values().removeIf(orphan -> adopter.test(orphan.report(), orphan.sinceNanos()));
    }

    /**
     * Returns the runs that have not been adopted for longer than a time, each once in that time.
     *
     * @param nanos the time in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     * @param mayStop checks whether a run may be returned, with the time since which it is
     *     orphaned; other runs stay overdue
     * @return the overdue runs, never null
     */
    List<RunReport> takeOverdue(long nanos, long nowNanos, BiPredicate<RunReport, Long> mayStop) {
        List<RunReport> overdue = new ArrayList<>();
        for (Map.Entry<TaskId, Orphan> each : mRuns.entrySet()) {
            RunReport report = each.getValue().report();
            long sinceNanos = each.getValue().sinceNanos();
            if (nowNanos - sinceNanos > nanos && mayStop.test(report, sinceNanos)) {
                each.setValue(new Orphan(report, nowNanos));
                overdue.add(report);
            }
        }
        return overdue;
    }
}
