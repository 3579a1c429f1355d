package org.wagtailproxy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Forecasts when CPU capacity on the usable servers becomes free.
 *
 * <p>Created for one pass of scheduling decisions. Capacity is released when the running tasks are
 * expected to end. Demand beyond that takes its processor time with all servers fully used. After a
 * change of leader, servers that are about to be held count as capacity, so that no job is refused
 * although capacity will be available in time.
 */
final class CapacityForecast {

    /**
     * Wait that is assumed if no server is usable or becoming available; far beyond any deadline.
     */
    private static final double NO_SERVER_WAIT_MILLIS = 1e6;

    /** Free capacity below this share of a server is too small for a typical task. */
    private static final double MIN_USEFUL_SHARE = 0.35;

    /**
     * Minimum remaining time of a task, as a share of its expected run time; applies to overdue
     * tasks.
     */
    private static final double OVERDUE_REMAINING_SHARE = 0.2;

    /**
     * Expected time until a server that is becoming available accepts tasks, as a share of the
     * maximum.
     */
    private static final double EXPECTED_READY_SHARE = 0.3;

    /** Time that a server takes to stop a task. */
    private static final double STOP_MILLIS = 20;

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<BackendServer> mServers;
    private final SlowdownRange mSlowdowns;
    private final double mTotalCpuMillis;
    private final double mFreeCpuMillis;
    private final List<Release> mReleases = new ArrayList<>();

    /** Capacity that becomes free when a task ends. */
    private record Release(double afterMillis, double cpuMillis) {}

    /**
     * Creates a forecast.
     *
     * @param usable servers that may take a task now
     * @param becomingAvailable servers that will accept tasks after a change of leader
     * @param adoptMillis maximum time until these servers accept tasks, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    CapacityForecast(
            List<BackendServer> usable,
            List<BackendServer> becomingAvailable,
            long adoptMillis,
            long nowNanos) {
        mServers = new ArrayList<>(usable);
        mServers.addAll(becomingAvailable);
        mSlowdowns = SlowdownRange.of(usable);
        mFreeCpuMillis = usefulFreeCpuMillis(usable);
        double totalCpuMillis = 0;
        for (BackendServer server : usable) {
            totalCpuMillis += server.entry().capacity().cpuMillis();
            double slowdown = server.slowdown().ratio(mSlowdowns.typical());
            for (ServerRun run : server.runs()) {
                if (run.mLongRunning && !run.isStopRequested()) {
                    continue;
                }
                double remainingMillis = remainingMillis(run, slowdown, nowNanos);
                mReleases.add(new Release(remainingMillis, run.mDemand.cpuMillis()));
            }
        }
        for (BackendServer server : becomingAvailable) {
            double cpuMillis = server.entry().capacity().cpuMillis();
            totalCpuMillis += cpuMillis;
            mReleases.add(new Release(EXPECTED_READY_SHARE * adoptMillis, cpuMillis));
        }
        mTotalCpuMillis = totalCpuMillis;
        mReleases.sort(Comparator.comparingDouble(Release::afterMillis));
    }

    /** Returns the servers whose capacity is part of the forecast. */
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
     * Returns the time in milliseconds until the required capacity is free.
     *
     * @param requiredCpuMillis the required capacity, in thousandths of a core
     * @param cpuWork the processor time of the jobs that require it, in thousandths of a core times
     *     milliseconds
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

    /**
     * Sums the free CPU capacity of the servers that have enough of it for a typical task, in
     * thousandths of a core.
     */
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
        if (run.isStopRequested()) {
            return STOP_MILLIS;
        }
        double expectedMillis = slowdown * run.mEstimateMillis;
        double remainingMillis = expectedMillis - (nowNanos - run.mSentNanos) / NANOS_PER_MILLI;
        return Math.max(remainingMillis, OVERDUE_REMAINING_SHARE * expectedMillis);
    }
}
