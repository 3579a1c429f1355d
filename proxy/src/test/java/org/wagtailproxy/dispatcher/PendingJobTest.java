package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkProgress;
import org.wagtailproxy.workload.WorkSpec;

class PendingJobTest {

    private static final HomeProcess FIRST = home("n1");
    private static final HomeProcess SECOND = home("n2");

    private final List<String> mHandedBack = new ArrayList<>();
    private final PendingJob mJob =
            new PendingJob(
                    WorkSpec.of(
                            new JobId("00000000000000a1"),
                            SimulatedServer.SERVICE,
                            "60",
                            List.of(StepSpec.of(1, SimulatedServer.DEMAND, 60)),
                            QueueTerms.of(0, 6, 60, 3)));

    private static HomeProcess home(String name) {
        return new HomeProcess(InstanceName.of(name), Incarnation.of(name.hashCode(), 1));
    }

    private void add(HomeProcess home) {
        mJob.addHome(
                home,
                false,
                result -> result.swap().forEach(progress -> mHandedBack.add(home.name().value())));
    }

    @Test
    void testJobIsHandedBackToHomeThatHasSubmittedItAgainLast() {
        add(FIRST);
        add(SECOND);
        add(FIRST);
        mJob.handBack(WorkProgress.NONE);
        assertThat(mHandedBack, contains("n1"));
    }
}
