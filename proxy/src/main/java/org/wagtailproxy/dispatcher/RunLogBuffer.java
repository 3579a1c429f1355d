package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;

/**
 * Keeps what is to be logged of the runs of open jobs until it is known whether anybody will ask.
 *
 * <p>Answers the volume of the log: nearly all jobs are complete in time after runs that went as
 * expected, and of these one line with the number of runs is enough. Confined to one thread.
 */
final class RunLogBuffer {

    private final Map<JobId, List<Entry>> mEntries = new HashMap<>();

    /**
     * A start or an end of a run that went as expected.
     *
     * @param atMillis the time of day, in milliseconds since 1970
     * @param placed true for a start
     * @param millis the expected run time of a start, the run time of an end
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

    /** Takes the notes of a job, in their order; none are kept after that. */
    List<Entry> removeEntries(JobId job) {
        List<Entry> entries = mEntries.remove(job);
        return entries == null ? List.of() : entries;
    }
}
