package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.fleet.EndKind;
import org.wagtailproxy.fleet.EndReport;
import org.wagtailproxy.fleet.PollReport;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.RunReport;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

/** Reports of a backend server that arrive in another order than they were made. */
class OvertakenReportTest {

    private static final long STARTED_MILLIS = 5;
    private static final ResourceAmount DEMAND = ResourceAmount.of(10_000, 64, 0);
    private static final TaskId TASK = TaskId.of(new JobId("00000000000000a1"), 0, 0);
    private static final int ATTEMPT = StoredAttempts.number(1);
    private static final List<RunReport> RUNNING = List.of(new RunReport(TASK, ATTEMPT, 50, ""));

    private final List<StoredJob> mSaved = new ArrayList<>();
    private final ServiceScheduler mScheduler =
            ServiceScheduler.of(
                    LeaseTiming.of(1000),
                    FencingTokenSource.of("n1"),
                    SchedulerTuning.defaults(),
                    ActionPermissions.ALL,
                    new SavingListener());
    private long mNowMillis = 1000;

    /** Guards against a done task that is adopted as running and started again. */
    @Test
    void testRunThatHasEndedIsNotAdoptedFromAnOlderReport() {
        list();
        answer(pollAfter(1), RUNNING, List.of());
        ServerCommand.Poll first = pollAfter(1);
        ServerCommand.Poll second = pollAfter(150);
        answer(first, List.of(), List.of(new EndReport(1, TASK, ATTEMPT, EndKind.DONE, "")));
        answer(second, RUNNING, List.of());
        mScheduler.storedJobs().recordFormerCoordinatorEnded(nowNanos());
        mScheduler.storedJobs().add(storedJob(), 64, nowNanos());
        mScheduler.storedJobs().onAllRead(nowNanos(), nowNanos());
        assertThat(
                mSaved.stream().map(StoredJob::state).toList(), contains(StoredJob.State.COMPLETE));
        for (int tick = 0; tick < 200; tick++) {
            mNowMillis += 20;
            mScheduler.tick(nowNanos());
        }
        assertThat(
                mScheduler.takeCommands().stream()
                        .filter(ServerCommand.Start.class::isInstance)
                        .toList(),
                is(empty()));
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    private void list() {
        ServerEntry entry =
                new ServerEntry(
                        ServerId.of("s1"),
                        ServerSimulation.SERVICE,
                        HostAddress.of("10.0.0.1", 1000),
                        DataCentre.of("pwani-a"),
                        8,
                        ResourceAmount.of(32_000, 65_536, 0),
                        Set.of(),
                        false);
        mScheduler.updateServers(List.of(entry), nowNanos());
        mScheduler.updateClaims(each -> ClaimMode.FIRST);
    }

    /** Returns the poll that the scheduler sends after a time. */
    private ServerCommand.Poll pollAfter(long millis) {
        mNowMillis += millis;
        mScheduler.tick(nowNanos());
        return mScheduler.takeCommands().stream()
                .filter(ServerCommand.Poll.class::isInstance)
                .map(ServerCommand.Poll.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private void answer(ServerCommand.Poll poll, List<RunReport> running, List<EndReport> ended) {
        mNowMillis++;
        PollReport report = new PollReport(mNowMillis, STARTED_MILLIS, running, ended);
        mScheduler.onPollResult(poll, PollResult.answered(report), nowNanos());
    }

    private static StoredJob storedJob() {
        WorkSpec spec =
                WorkSpec.of(
                        TASK.job(),
                        ServerSimulation.SERVICE,
                        "text",
                        List.of(StepSpec.of(1, DEMAND, 60)),
                        QueueTerms.of(0, 6, 60, 3));
        return StoredJob.of(spec.withStorage("queue"));
    }

    /** Records the changes of stored jobs. */
    private final class SavingListener implements SchedulerListener {

        @Override
        public void jobEnded(JobId job, WorkOutcome outcome) {}

        @Override
        public void storedJobChanged(StoredJob job, long changeNumber) {
            mSaved.add(job);
        }

        @Override
        public void taskPlaced(TaskId task, int attempt, ServerId server, long expectedMillis) {}

        @Override
        public void runEnded(
                TaskId task,
                int attempt,
                ServerId server,
                RunEnd end,
                long tookMillis,
                long estimateMillis) {}

        @Override
        public void serverClaimChanged(ServerId server, boolean held, long token) {}
    }
}
