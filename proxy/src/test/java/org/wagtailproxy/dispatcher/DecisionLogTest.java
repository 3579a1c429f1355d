package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.MetricsRecorder;
import org.wagtailproxy.scheduling.RunEnd;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;

class DecisionLogTest {

    private static final JobId JOB = new JobId("00000000000000aa");
    private static final ServerId SERVER = ServerId.of("s");
    private static final WorkOutcome DONE = WorkOutcome.of(WorkOutcome.Kind.COMPLETE, "done");

    private final List<String> mEvents = new ArrayList<>();
    private final List<String> mCounts = new ArrayList<>();
    private final DecisionLog mLog =
            new DecisionLog(
                    EventLog.of(
                            "instance",
                            "here",
                            "1",
                            (level, message, cause) -> {
                                mEvents.add(message.get("event"));
                                mCounts.add(message.get("count"));
                            }),
                    new MetricsRecorder());

    @Test
    void testJobThatIsCompleteInTimeHasOneLineThatCountsItsRuns() {
        run(0, RunEnd.DONE, true);
        run(1, RunEnd.DONE, true);
        mLog.jobEnded(JOB, DONE, false);
        assertThat(mEvents, contains("job-ended"));
        assertThat(mCounts, contains("2"));
    }

    @Test
    void testLateJobIsLoggedWithAllItsRuns() {
        run(0, RunEnd.DONE, true);
        mLog.jobEnded(JOB, DONE, true);
        assertThat(mEvents, contains("task-placed", "run-ended", "job-ended"));
    }

    @Test
    void testFailedRunIsLoggedAtOnceWithEarlierRuns() {
        run(0, RunEnd.DONE, true);
        run(1, RunEnd.FAILED, true);
        assertThat(mEvents, contains("task-placed", "run-ended", "task-placed", "run-ended"));
    }

    @Test
    void testRunsOfJobThatMovesToAnotherLeaderAreLoggedOnce() {
        run(0, RunEnd.DONE, true);
        mLog.jobHandedOver(JOB);
        assertThat(mEvents, contains("task-placed", "run-ended"));
        mLog.jobHandedOver(JOB);
        assertThat(mEvents.size(), is(2));
    }

    @Test
    void testRunsOfJobsWhoseEndIsNotLoggedAreLoggedAtOnce() {
        run(0, RunEnd.DONE, false);
        assertThat(mEvents, contains("task-placed", "run-ended"));
    }

    private void run(int index, RunEnd end, boolean endLogged) {
        TaskId task = TaskId.of(JOB, 0, index);
        mLog.taskPlaced(task, 1, SERVER, 60, endLogged);
        mLog.runEnded(task, 1, SERVER, end, 70, 60, endLogged);
    }
}
