package org.wagtailproxy.workload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.DataCentre;

class WorkProgressTest {

    private static final JobId JOB = new JobId("00000000000000aa");
    private static final TaskId FIRST = TaskId.of(JOB, 0, 0);
    private static final TaskId SECOND = TaskId.of(JOB, 0, 1);
    private static final ServerId SERVER = ServerId.of("s1");
    private static final ServerId OTHER_SERVER = ServerId.of("s2");

    @Test
    void testMergeKeepsDoneTasksServersAndHighestAttemptOfBoth() {
        WorkProgress left = WorkProgress.of(List.of(FIRST), 65).runningOnlyOn(List.of(SERVER));
        WorkProgress right =
                WorkProgress.of(List.of(FIRST, SECOND), 1).runningOnlyOn(List.of(OTHER_SERVER));
        for (WorkProgress merged : List.of(left.merge(right), right.merge(left))) {
            assertThat(merged.done(), containsInAnyOrder(FIRST, SECOND));
            assertThat(merged.highestAttempt(), is(65));
            assertThat(merged.runsOn().get(), containsInAnyOrder(SERVER, OTHER_SERVER));
        }
    }

    @Test
    void testMergeKeepsDataCentresOfBoth() {
        DataCentreScope one = DataCentreScope.of(Set.of(DataCentre.of("a")));
        WorkProgress left = WorkProgress.NONE.plusAttempts(64, one);
        assertThat(left.merge(WorkProgress.NONE).scope(), is(one));
        assertThat(left.merge(WorkProgress.NONE.plusAttempts(64)).scope(), is(DataCentreScope.ALL));
    }

    @Test
    void testMergeDoesNotTakeUnknownServersForKnownOnes() {
        WorkProgress unknown = WorkProgress.of(List.of(), 64);
        assertThat(unknown.merge(WorkProgress.NONE).runsOn().isEmpty(), is(true));
        assertThat(WorkProgress.NONE.merge(unknown).runsOn().isEmpty(), is(true));
    }

    @Test
    void testMergeWithUnstartedProgressChangesNothing() {
        WorkProgress progress = WorkProgress.of(List.of(FIRST), 2).runningOnlyOn(List.of(SERVER));
        assertThat(progress.merge(WorkProgress.NONE), is(progress));
    }
}
