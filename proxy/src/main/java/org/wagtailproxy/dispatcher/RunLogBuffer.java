package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;

/**
 * Buffers the log entries of the runs of open jobs until it is known whether they are needed.
 *
 * <p>Limits the volume of the log: nearly all jobs are complete in time after runs that went as
 * expected. For these, one line with the number of runs is enough. Confined to one thread.
 */
final class RunLogBuffer {

    private final Map<JobId, List<Entry>> mEntries = new HashMap<>();

    /**
     * The start or the end of a run that went as expected.
     *
     * @param atMillis the time of day, in milliseconds since 1970
     * @param placed true for a start
     * @param runMillis the expected run time for a start, the actual run time for an end
     */
    record Entry(
            long atMillis,
            boolean placed,
            TaskId task,
            int attempt,
            ServerId server,
            long runMillis) {}

    void add(Entry entry) {
        mEntries.computeIfAbsent(entry.task().job(), job -> new ArrayList<>()).add(entry);
    }

    /** Removes and returns the entries of a job, in the order in which they were added. */
    List<Entry> removeEntries(JobId job) {
        List<Entry> entries = mEntries.remove(job);
        return entries == null ? List.of() : entries;
    }
}
