package org.wagtailproxy.scheduling;

import java.util.List;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.StoredJob;
import org.wagtailproxy.workload.WorkSpec;

/** Stored jobs on simulated servers, for tests of their scheduling. */
abstract class StoredJobFixture {

    static final ResourceAmount DEMAND = ResourceAmount.of(14_000, 64, 0);

    final ServerSimulation mSimulation = new ServerSimulation();
    int mJobs;

    void addServers(int servers, long workMillis) {
        for (int number = 0; number < servers; number++) {
            mSimulation.add("s" + number, 1, 32_000).mWorkMillis = workMillis;
        }
        mSimulation.mScheduler.storedJobs().setUnreadJobsPossible(true, mSimulation.nowNanos());
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
        mSimulation.run(100);
    }

    StoredJob job(StepSpec... steps) {
        JobId id = new JobId(String.format("%016x", ++mJobs));
        QueueTerms terms = QueueTerms.of(0, 1.6, 60, 2);
        WorkSpec spec =
                WorkSpec.of(id, ServerSimulation.SERVICE, "text", List.of(steps), terms)
                        .withStorage("queue");
        return StoredJob.of(spec);
    }

    /** Adds a job whose former coordinator, if it had one, does not start its tasks any more. */
    void addStoredJob(StoredJob job, int highestAttempt) {
        mSimulation.mScheduler.storedJobs().recordFormerCoordinatorEnded(mSimulation.nowNanos());
        mSimulation.mScheduler.storedJobs().add(job, highestAttempt, mSimulation.nowNanos());
        mSimulation.flush();
    }

    /** Replaces the coordinator by one that starts with the saved state of a job. */
    void changeCoordinator(StoredJob saved) {
        mSimulation.mScheduler.stepDown();
        mSimulation.list();
        mSimulation.run(30);
        addStoredJob(saved, 64);
        mSimulation
                .mScheduler
                .storedJobs()
                .onAllRead(mSimulation.nowNanos(), mSimulation.nowNanos());
    }

    StoredJob savedJob(StoredJob job) {
        return mSimulation.mStored.get(job.spec().id());
    }

    int runningTasks() {
        return mSimulation.mServers.values().stream().mapToInt(s -> s.mRunning.size()).sum();
    }

    int listedEnds() {
        return mSimulation.mServers.values().stream().mapToInt(s -> s.listedEnds()).sum();
    }

    JobPhase phase(StoredJob job) {
        return mSimulation.mScheduler.phase(job.spec().id());
    }

    ServerSimulation.SimulatedServer onlyServer() {
        return mSimulation.mServers.values().iterator().next();
    }

    StoredJob longRunningJob(StepSpec step) {
        return StoredJob.of(job(step).spec().asLongRunning());
    }
}
