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

    private final Map<JobId, List<Note>> mNotes = new HashMap<>();

    /**
     * A start or an end of a run that went as expected.
     *
     * @param atMillis the time of day, in milliseconds since 1970
     * @param placed true for a start
     * @param millis the expected run time of a start, the run time of an end
     */
    record Note(
            long atMillis,
            boolean placed,
            TaskId task,
            int attempt,
            ServerId server,
            long millis) {}

    void add(Note note) {
        mNotes.computeIfAbsent(note.task().job(), job -> new ArrayList<>()).add(note);
    }

    /** Takes the notes of a job, in their order; none are kept after that. */
    List<Note> take(JobId job) {
        List<Note> notes = mNotes.remove(job);
        return notes == null ? List.of() : notes;
    }
}
