package org.wagtailproxy.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.TeamName;

class JobTrackerTest {

    private static final Failure UNKNOWN = Failure.of(FailureKind.TASK_OUTCOME_UNKNOWN, "");

    @Test
    void testFailureOfTheLastOpenTaskFailsTheJob() {
        JobTracker tracker = tracker(1);
        tracker.tryStart(0, "a", 0);
        tracker.fail(0, "a", UNKNOWN, 0);
        assertThat(tracker.state(), is(JobState.FAILED));
    }

    @Test
    void testFailureEndsQueuedTasksAndAwaitsSentOnes() {
        JobTracker tracker = tracker(3);
        tracker.tryStart(0, "a", 0);
        tracker.tryStart(1, "a", 0);
        tracker.fail(0, "a", UNKNOWN, 0);
        assertThat(tracker.taskState(2), is(TaskState.NOT_RUN));
        assertThat(tracker.isSettled(), is(false));
        tracker.recordAnswer(1, "a", "x", 0);
        assertThat(tracker.state(), is(JobState.FAILED));
    }

    @Test
    void testCompleteJobCannotBeFailedAfterwards() {
        JobTracker tracker = tracker(1);
        tracker.tryStart(0, "a", 0);
        tracker.recordAnswer(0, "a", "x", 0);
        tracker.failJob(UNKNOWN, 0);
        assertThat(tracker.state(), is(JobState.COMPLETE));
    }

    @Test
    void testTaskThatWasNotRunMayStartAgain() {
        JobTracker tracker = tracker(1);
        tracker.tryStart(0, "a", 0);
        assertThat(tracker.tryStart(0, "b", 0), is(false));
        assertThat(tracker.requeue(0, "a", "refused", 0), is(true));
        assertThat(tracker.tryStart(0, "b", 0), is(true));
    }

    /**
     * Guards against tasks that run twice and ends that change: under any order of events a task
     * runs at most once, and the final state of the job stays.
     */
    @Property(tries = 500, seed = "20261204")
    void testAnyOrderOfEventsAccountsForEveryTask(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int tasks) {
        Random random = new Random(seed);
        JobTracker tracker = tracker(tasks);
        int[] running = new int[tasks];
        int[] executed = new int[tasks];
        JobState lastState = JobState.RUNNING;
        for (int step = 0; step < tasks * 20; step++) {
            int index = random.nextInt(tasks);
            apply(random.nextInt(5), tracker, index, running, executed);
            assertThat(executed[index], lessThanOrEqualTo(1));
            if (lastState != JobState.RUNNING) {
                assertThat(tracker.state(), is(lastState));
            }
            lastState = tracker.state();
        }
        if (lastState == JobState.COMPLETE) {
            for (int index = 0; index < tasks; index++) {
                assertThat(tracker.answer(index).get(), is("answer " + index));
            }
        }
    }

    private static void apply(
            int event, JobTracker tracker, int index, int[] running, int[] executed) {
        switch (event) {
            case 0, 1 -> {
                if (tracker.tryStart(index, "a", 0)) {
                    running[index]++;
                    executed[index]++;
                }
            }
            case 2 -> {
                if (running[index] > 0) {
                    running[index] = 0;
                    tracker.recordAnswer(index, "a", "answer " + index, 0);
                }
            }
            case 3 -> {
                if (running[index] > 0) {
                    running[index] = 0;
                    executed[index]--;
                    tracker.requeue(index, "a", "refused", 0);
                }
            }
            default -> {
                if (running[index] > 0 && index % 4 == 0) {
                    running[index] = 0;
                    tracker.fail(index, "a", UNKNOWN, 0);
                }
            }
        }
    }

    private static JobTracker tracker(int tasks) {
        List<TaskSpec> specs = new ArrayList<>();
        for (int index = 0; index < tasks; index++) {
            specs.add(TaskSpec.of("t" + index, "p", 1));
        }
        JobSpec spec = JobSpec.of(ServiceName.of("s"), TeamName.of("t"), "purpose", specs);
        return JobTracker.of(JobName.parse("job").get(), spec, 0);
    }
}
