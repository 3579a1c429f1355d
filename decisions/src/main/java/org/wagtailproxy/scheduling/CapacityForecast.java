package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * When room on the usable servers is expected to come free.
 *
 * <p>Made once for a round of decisions. Room comes free as the tasks that run are expected to end;
 * what is wanted beyond that takes its time at full use of all servers. Answers changes of leader
 * too: servers that are about to be held count, so that no job is refused for room that will be
 * there in time.
 */
final class CapacityForecast {

    /** Wait assumed when no server is held; far beyond any deadline. */
    private static final double NO_SERVER_WAIT_MILLIS = 1e6;

    /** Unused room below this share of a server fits no usual task. */
    private static final double MIN_USEFUL_SHARE = 0.35;

    /** What a task that is overdue is expected to need still, as a share of its run time. */
    private static final double OVERDUE_REMAINING_SHARE = 0.2;

    /** When a settling server takes tasks, as a share of the longest time that it may need. */
    private static final double EXPECTED_CLAIM_SHARE = 0.3;

    /** Time that a server takes to stop a task. */
    private static final double STOP_MILLIS = 20;

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<BackendServer> mServers;
    private final SlowdownRange mSlowdowns;
    private final double mTotalCpuMillis;
    private final double mFreeCpuMillis;
    private final List<Release> mReleases = new ArrayList<>();

    /** Room that comes free when a task ends. */
    private record Release(double afterMillis, double cpuMillis) {}

    /**
     * Projects the room.
     *
     * @param usable servers that may take a task now
     * @param becomingAvailable servers that will after a change of leader
     * @param claimMillis within which time they will
     * @param nowNanos the monotonic time
     */
    CapacityForecast(
            List<BackendServer> usable,
            List<BackendServer> becomingAvailable,
            long claimMillis,
            long nowNanos) {
        mServers = new ArrayList<>(usable);
        mServers.addAll(becomingAvailable);
        mSlowdowns = SlowdownRange.of(usable);
        mFreeCpuMillis = usefulFreeCpuMillis(usable);
        double totalCpuMillis = 0;
        for (BackendServer server : usable) {
            totalCpuMillis += server.entry().capacity().cpuMillis();
            double slowdown = server.slowdown().ratio(mSlowdowns.usual());
            for (ServerRun run : server.runs()) {
                if (run.mLongRunning && !run.stopOrdered()) {
                    continue;
                }
                double remainingMillis = remainingMillis(run, slowdown, nowNanos);
                mReleases.add(new Release(remainingMillis, run.mDemand.cpuMillis()));
            }
        }
        for (BackendServer server : becomingAvailable) {
            double cpuMillis = server.entry().capacity().cpuMillis();
            totalCpuMillis += cpuMillis;
            mReleases.add(new Release(EXPECTED_CLAIM_SHARE * claimMillis, cpuMillis));
        }
        mTotalCpuMillis = totalCpuMillis;
        mReleases.sort(Comparator.comparingDouble(Release::afterMillis));
    }

    /** Returns the servers whose room is projected. */
    List<BackendServer> servers() {
        return mServers;
    }

    SlowdownRange slowdowns() {
        return mSlowdowns;
    }

    double totalCpuMillis() {
        return mTotalCpuMillis;
    }

    /**
     * Returns the wait until an amount of room has come free.
     *
     * @param requiredCpuMillis the room in thousandths of a core
     * @param cpuWork the processor time that those who want it take, in thousandths of a core times
     *     ms
     */
    double waitMillis(double requiredCpuMillis, double cpuWork) {
        if (mTotalCpuMillis == 0) {
            return NO_SERVER_WAIT_MILLIS;
        }
        double freeCpuMillis = mFreeCpuMillis;
        if (freeCpuMillis >= requiredCpuMillis) {
            return 0;
        }
        double runningCpuWork = 0;
        for (Release release : mReleases) {
            freeCpuMillis += release.cpuMillis();
            runningCpuWork += release.cpuMillis() * release.afterMillis();
            if (freeCpuMillis >= requiredCpuMillis) {
                return release.afterMillis();
            }
        }
        return (runningCpuWork + cpuWork) / mTotalCpuMillis;
    }

    /** Sums the unused room of servers that have enough of it for a usual task. */
    static double usefulFreeCpuMillis(Collection<BackendServer> servers) {
        double usefulCpuMillis = 0;
        for (BackendServer server : servers) {
            double freeCpuMillis = server.freeCapacity().cpuMillis();
            if (freeCpuMillis > MIN_USEFUL_SHARE * server.entry().capacity().cpuMillis()) {
                usefulCpuMillis += freeCpuMillis;
            }
        }
        return usefulCpuMillis;
    }

    private static double remainingMillis(ServerRun run, double slowdown, long nowNanos) {
        if (run.stopOrdered()) {
            return STOP_MILLIS;
        }
        double expectedMillis = slowdown * run.mEstimateMillis;
        double remainingMillis = expectedMillis - (nowNanos - run.mSentNanos) / NANOS_PER_MILLI;
        return Math.max(remainingMillis, OVERDUE_REMAINING_SHARE * expectedMillis);
    }
}
