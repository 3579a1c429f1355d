package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.TaskId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

/** Callers that send jobs, send them again after a lost answer, and leave. */
final class SimulatedCallers {

    private static final long RESUBMIT_MILLIS = 1300;
    private static final int MAX_ATTEMPTS = 3;

    int mCompleted;
    private final FleetSimulation mFleet;
    private final VirtualTime mTime;
    private final List<String> mDataCentres;
    private final Map<JobId, Job> mJobs = new HashMap<>();
    private final long mMeanIntervalMillis;
    private final Map<SimulatedProcess, List<Request>> mResetRequests = new HashMap<>();
    private int mNextJob = 1;
    private boolean mResets;
    private boolean mSendsStoredJobs;
    private boolean mFinished;
    private final Set<JobId> mAcceptedJobs = new LinkedHashSet<>();

    /** A job of a caller, with what the attempts to hand it in have brought. */
    private static final class Job {
        private final WorkSpec mSpec;
        private final long mTimeoutMillis;
        private String mDataCentre;
        private int mAttempts;
        private int mRefused;

        private Job(WorkSpec spec, long timeoutMillis) {
            mSpec = spec;
            mTimeoutMillis = timeoutMillis;
        }
    }

    SimulatedCallers(FleetSimulation fleet, List<String> dataCentres) {
        mFleet = fleet;
        mTime = fleet.mTime;
        mDataCentres = dataCentres;
        mMeanIntervalMillis = mTime.between(15, 80);
    }

    /**
     * Resets connections, after which the callers send their jobs again anywhere, at once if no
     * task has been started.
     */
    void resetConnections() {
        mResets = true;
    }

    /** Lets callers send stored jobs as well. */
    void sendStoredJobs() {
        mSendsStoredJobs = true;
    }

    /** Sends no further jobs. */
    void finish() {
        mFinished = true;
    }

    /** Returns the stored jobs whose callers were told that they are accepted. */
    Set<JobId> acceptedJobs() {
        return mAcceptedJobs;
    }

    /** Returns the tasks of a job. */
    List<TaskId> tasks(JobId job) {
        int tasks = mJobs.get(job).mSpec.steps().get(0).tasks();
        return IntStream.range(0, tasks).mapToObj(index -> TaskId.of(job, 0, index)).toList();
    }

    void schedule() {
        mTime.after(1200, this::sendNext);
    }

    /** Checks whether a data centre is another one than that in which a job was handed in. */
    boolean isRemote(JobId id, String dataCentre) {
        Job job = mJobs.get(id);
        return job != null && !job.mDataCentre.equals(dataCentre);
    }

    private void sendNext() {
        if (mFinished) {
            return;
        }
        mTime.after(mTime.between(1, 2 * mMeanIntervalMillis), this::sendNext);
        JobId id = new JobId(String.format("%016x", mNextJob++));
        int tasks = Math.toIntExact(mTime.between(1, 4));
        long estimateMillis = mTime.chance(0.5) ? 60 : mTime.between(100, 900);
        WorkSpec spec =
                WorkSpec.of(
                        id,
                        SimulatedServer.SERVICE,
                        Long.toString(estimateMillis),
                        List.of(StepSpec.of(tasks, SimulatedServer.DEMAND, estimateMillis)),
                        QueueTerms.of(0, 6, 60, 3));
        boolean isStored = mSendsStoredJobs && mTime.chance(0.4);
        if (isStored) {
            mFleet.onStoredJobSubmitted(id);
        }
        Job job =
                new Job(
                        isStored ? spec.withStorage("queue") : spec,
                        mTime.chance(0.5) ? 1500 : 4000);
        mJobs.put(id, job);
        // Most callers are near the first data centre, whose leader forwards what does not fit.
        job.mDataCentre = mTime.chance(0.6) ? mDataCentres.get(0) : mTime.oneOf(mDataCentres);
        send(job);
    }

    private void send(Job job) {
        if (job.mAttempts == MAX_ATTEMPTS) {
            return;
        }
        job.mAttempts++;
        List<SimulatedInstance> homes =
                mFleet.mInstances.values().stream()
                        .filter(each -> each.mHost.dataCentre().equals(job.mDataCentre))
                        .filter(each -> !each.isRetired())
                        .toList();
        SimulatedInstance home = mTime.oneOf(homes);
        if (!home.isUp() || !home.dispatcher().hasLeader()) {
            mTime.after(RESUBMIT_MILLIS, () -> sendElsewhere(job));
            return;
        }
        if (mResets) {
            home.onCallersDoubted(() -> withdrawResetRequests(home.process()));
        }
        new Request(job, home).send();
    }

    private void sendElsewhere(Job job) {
        if (mTime.chance(0.6)) {
            job.mDataCentre = mTime.oneOf(mDataCentres);
        }
        send(job);
    }

    /** Withdraws the requests of the connections whose reset has arrived at a process. */
    private void withdrawResetRequests(SimulatedProcess process) {
        for (Request request : List.copyOf(mResetRequests.getOrDefault(process, List.of()))) {
            if (request.isReset()) {
                request.withdraw();
            }
        }
    }

    void checkRefusals(Set<JobId> started) {
        mJobs.forEach(
                (id, job) -> {
                    if (job.mAttempts > 0
                            && job.mRefused == job.mAttempts
                            && started.contains(id)) {
                        mFleet.violation(id, "REFUSED, but started:");
                    }
                });
    }

    /** One request of a caller, on a connection of its own. */
    private final class Request {
        private final Job mJob;
        private final SimulatedProcess mProcess;
        private final Dispatcher mDispatcher;
        private final String mName;
        private long mArrivalNanos;
        private long mResetNanos = Long.MAX_VALUE;
        private boolean mOpen = true;
        private boolean mWithdrawn;
        private boolean mAnswered;

        private Request(Job job, SimulatedInstance home) {
            mJob = job;
            mProcess = home.process();
            mDispatcher = home.dispatcher();
            mName = job.mSpec.id() + "/" + job.mAttempts;
        }

        private void send() {
            mTime.note("caller sends " + mName + " to " + mProcess.mHost.name());
            mArrivalNanos = mTime.nowNanos() + mFleet.mNetwork.latencyNanos();
            mTime.at(mArrivalNanos, () -> mProcess.execute(this::handle));
            mTime.after(mJob.mTimeoutMillis, () -> leave("has waited for", true));
            if (mTime.chance(0.06)) {
                boolean sendsAgain = mTime.chance(0.5);
                mTime.after(mTime.between(1, 900), () -> leave("leaves", sendsAgain));
            }
            if (mResets && mTime.chance(0.15)) {
                long millis = mTime.chance(0.5) ? mTime.between(0, 20) : mTime.between(20, 900);
                boolean isBusy = mTime.chance(0.4);
                mTime.after(millis, () -> reset(isBusy));
            }
            mProcess.onKilled(() -> mTime.after(1, () -> leave("lost its connection for", true)));
        }

        /** A request whose reset has arrived is not handled, as that of {@code HttpServer}. */
        private void handle() {
            if (isReset()) {
                mTime.note("front drops " + mName);
                return;
            }
            mDispatcher.submit(mJob.mSpec, mJob.mTimeoutMillis, mName, this::onOutcome);
        }

        private boolean isReset() {
            return mTime.nowNanos() >= mResetNanos;
        }

        /** Resets the connection, of a process that is busy from then on or not. */
        private void reset(boolean isBusy) {
            if (!mOpen) {
                return;
            }
            mOpen = false;
            mTime.note("caller is reset " + mName);
            if (isBusy) {
                mProcess.pause(mTime.between(5, 80));
            }
            mResetNanos =
                    Math.max(mArrivalNanos, mTime.nowNanos() + mFleet.mNetwork.latencyNanos());
            mResetRequests.computeIfAbsent(mProcess, key -> new ArrayList<>()).add(this);
            mTime.at(mResetNanos, () -> mProcess.execute(this::withdraw));
            // No leader can prevent that a task which runs is started again at once elsewhere.
            boolean hasStarted = mFleet.hasStarted(mJob.mSpec.id());
            mTime.after(
                    hasStarted ? RESUBMIT_MILLIS : mTime.between(0, 10),
                    () -> {
                        mJob.mDataCentre = mTime.oneOf(mDataCentres);
                        SimulatedCallers.this.send(mJob);
                    });
        }

        private void withdraw() {
            if (!mWithdrawn) {
                mWithdrawn = true;
                mResetRequests.get(mProcess).remove(this);
                mDispatcher.withdraw(mJob.mSpec.id(), mName);
            }
        }

        private void leave(String reason, boolean sendsAgain) {
            if (!mOpen) {
                return;
            }
            mOpen = false;
            mTime.note("caller " + reason + " " + mName);
            mTime.afterNanos(
                    mFleet.mNetwork.latencyNanos(),
                    () -> mProcess.execute(() -> mDispatcher.withdraw(mJob.mSpec.id(), mName)));
            if (sendsAgain) {
                mTime.after(RESUBMIT_MILLIS, () -> sendElsewhere(mJob));
            }
        }

        private void onOutcome(WorkOutcome outcome) {
            if (mAnswered) {
                mFleet.violation(mJob.mSpec.id(), "answered twice:");
            }
            mAnswered = true;
            mTime.afterNanos(mFleet.mNetwork.latencyNanos(), () -> receive(outcome));
        }

        private void receive(WorkOutcome outcome) {
            if (!mOpen) {
                return;
            }
            mOpen = false;
            mTime.note("caller receives " + mName + " " + outcome);
            switch (outcome.kind()) {
                case COMPLETE -> {
                    mCompleted++;
                    for (int index = 0; index < mJob.mSpec.steps().get(0).tasks(); index++) {
                        if (!mFleet.isDone(TaskId.of(mJob.mSpec.id(), 0, index))) {
                            mFleet.violation(mJob.mSpec.id(), "complete without all tasks:");
                        }
                    }
                }
                case ACCEPTED -> mAcceptedJobs.add(mJob.mSpec.id());
                case REFUSED -> mJob.mRefused++;
                case ABANDONED -> mTime.after(RESUBMIT_MILLIS, () -> sendElsewhere(mJob));
                default -> {
                    // Failed, or of no meaning for such jobs.
                }
            }
        }
    }
}
