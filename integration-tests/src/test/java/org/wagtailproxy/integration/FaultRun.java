package org.wagtailproxy.integration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.wagtailproxy.integration.Cluster.Entry;
import org.wagtailproxy.integration.FaultProxy.Fault;

/**
 * Injects pairs of faults by a seeded schedule while a load runs, then checks the guarantees.
 *
 * <p>Guarantees: no task starts twice, all instances report the same end of a job, each caller gets
 * the answers to its own tasks, and each accepted job ends.
 */
final class FaultRun {

    private static final int RECENT_JOBS = 60;

    private final Cluster mCluster;
    private final ClosedLoopLoad mLoad;
    private final ObservedEnds mObservedEnds;
    private final Random mRandom;
    private final List<String> mSchedule = new ArrayList<>();

    private FaultRun(Cluster cluster, ClosedLoopLoad load, long seed) {
        mCluster = cluster;
        mLoad = load;
        mObservedEnds = new ObservedEnds(cluster);
        mRandom = new Random(seed);
    }

    /** The faults of which each round draws two. */
    private enum InjectedFault {
        KILL,
        PAUSE_BRIEFLY,
        PAUSE_PAST_THE_SEAL,
        PLANNED_STOP,
        ISOLATE,
        CUT_DATA_CENTRES,
        PLATFORM_OUTAGE,
        LOST_ANSWERS,
        STALE_READS,
        FROZEN_LIST,
        BACKEND_CUT,
        BACKEND_SILENT,
        BACKEND_FAILING
    }

    /**
     * Runs the given number of rounds.
     *
     * @return the violated guarantees and the schedule of faults, empty if none was violated
     */
    static List<String> run(long seed, int rounds) throws IOException, InterruptedException {
        try (Cluster cluster = Cluster.start(2, 3, 1, 1, 2);
                ClosedLoopLoad load = ClosedLoopLoad.start(cluster, 8, 15, 30)) {
            FaultRun run = new FaultRun(cluster, load, seed);
            for (int round = 0; round < rounds; round++) {
                run.runRound();
            }
            return run.checkGuarantees();
        }
    }

    private void runRound() throws IOException, InterruptedException {
        InjectedFault first = drawFault();
        InjectedFault second = drawFault();
        int firstIndex = mRandom.nextInt(mCluster.entries().size());
        int secondIndex = mRandom.nextInt(mCluster.entries().size());
        mSchedule.add(first + "(" + firstIndex + ") " + second + "(" + secondIndex + ")");
        System.out.println(mSchedule.size() + ": " + mSchedule.get(mSchedule.size() - 1));
        injectFault(first, mCluster.entry(firstIndex));
        injectFault(second, mCluster.entry(secondIndex));
        for (int step = 0; step < 8 + mRandom.nextInt(16); step++) {
            mObservedEnds.queryAllInstances(recentJobs(6));
            Thread.sleep(100);
        }
        clearFaults(mCluster.entry(firstIndex));
        clearFaults(mCluster.entry(secondIndex));
        mObservedEnds.queryAllInstances(recentJobs(RECENT_JOBS));
    }

    private InjectedFault drawFault() {
        return InjectedFault.values()[mRandom.nextInt(InjectedFault.values().length)];
    }

    private List<String> recentJobs(int count) {
        List<String> names = mLoad.acceptedJobs();
        return names.subList(Math.max(0, names.size() - count), names.size());
    }

    private void injectFault(InjectedFault fault, Entry entry)
            throws IOException, InterruptedException {
        Cluster.Backend backend =
                mCluster.backends().get(mRandom.nextInt(mCluster.backends().size()));
        switch (fault) {
            case KILL -> entry.process().kill();
            case PAUSE_BRIEFLY -> entry.process().pause();
            case PAUSE_PAST_THE_SEAL -> {
                entry.process().pause();
                mCluster.removeFromInstanceList(entry);
                Thread.sleep(4000);
            }
            case PLANNED_STOP -> {
                mCluster.putInInstanceList(entry, true);
                entry.process().terminate();
            }
            case ISOLATE -> mCluster.setPeerFault(entry, Fault.FREEZE);
            case CUT_DATA_CENTRES -> mCluster.setFaultBetween(1, 2, Fault.FREEZE);
            case PLATFORM_OUTAGE -> mCluster.platform().setDown(true);
            case LOST_ANSWERS -> mCluster.platform().loseWriteAnswers(3);
            case STALE_READS -> mCluster.platform().setStaleReads(true);
            case FROZEN_LIST -> mCluster.platform().setListFrozen(true);
            case BACKEND_CUT -> backend.proxy().setFault(Fault.CUT);
            case BACKEND_SILENT -> backend.proxy().setFault(Fault.FREEZE_OPEN);
            case BACKEND_FAILING -> backend.standIn().setFailing(true);
            default -> throw new IllegalStateException(fault.name());
        }
    }

    private void clearFaults(Entry entry) throws IOException, InterruptedException {
        mCluster.platform().setDown(false);
        mCluster.platform().loseWriteAnswers(0);
        mCluster.platform().setStaleReads(false);
        mCluster.platform().setListFrozen(false);
        mCluster.setFaultBetween(1, 2, Fault.NONE);
        mCluster.setPeerFault(entry, Fault.NONE);
        for (Cluster.Backend backend : mCluster.backends()) {
            backend.proxy().setFault(Fault.NONE);
            backend.standIn().setFailing(false);
        }
        for (Entry instance : mCluster.entries()) {
            instance.process().resume();
            Thread.sleep(50);
            if (!instance.process().isAlive()) {
                instance.process().start();
            }
            mCluster.putInInstanceList(instance, false);
        }
    }

    /**
     * Waits until every instance is ready. Clears faults and starts instances in each poll, because
     * an instance that still drains can be started again only after its exit.
     */
    private void awaitRecovery() {
        Await.until(
                "every instance is ready",
                90,
                () -> {
                    clearFaults(mCluster.entry(0));
                    for (Entry entry : mCluster.entries()) {
                        if (!mCluster.caller().isReady(entry)) {
                            return false;
                        }
                    }
                    return true;
                });
    }

    private List<String> checkGuarantees() throws IOException, InterruptedException {
        Thread.sleep(8000);
        awaitRecovery();
        mLoad.finish();
        mObservedEnds.queryAllInstances(mLoad.acceptedJobs());
        List<String> violations = new ArrayList<>();
        mCluster.startRecorder()
                .startedTwice()
                .forEach(task -> violations.add("started twice: " + task));
        Set<String> contradictions = mObservedEnds.conflictingEnds();
        contradictions.forEach(job -> violations.add("two ends: " + job));
        if (mLoad.jobsWithWrongAnswers() > 0) {
            violations.add("wrong answers: " + mLoad.jobsWithWrongAnswers());
        }
        mLoad.problems().stream()
                .filter(problem -> problem.endsWith("never ended"))
                .forEach(violations::add);
        System.out.printf(
                "jobs complete %d, failed %d, refused %d, calls broken %d, tasks %d%n",
                mLoad.completedJobs(),
                mLoad.failedJobs(),
                mLoad.refusedJobs(),
                mLoad.callsWithoutAnswer(),
                mCluster.startRecorder().startedTaskCount());
        if (!violations.isEmpty()) {
            violations.add("schedule: " + mSchedule);
            System.out.println(mCluster.logs());
        }
        return violations;
    }
}
