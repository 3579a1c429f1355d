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
    private static final double NO_SERVER_MILLIS = 1e6;

    /** Unused room below this share of a server fits no usual task. */
    private static final double SMALLEST_USEFUL_SHARE = 0.35;

    /** What a task that is overdue is expected to need still, as a share of its run time. */
    private static final double OVERDUE_SHARE = 0.2;

    /** When a settling server takes tasks, as a share of the longest time that it may need. */
    private static final double SETTLED_SHARE = 0.3;

    /** Time that a server takes to stop a task. */
    private static final double STOP_MILLIS = 20;

    private static final double MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<BackendServer> mKnown;
    private final SlowdownRange mPaces;
    private final double mCapacity;
    private final double mFree;
    private final List<Release> mReleases = new ArrayList<>();

    /** Room that comes free when a task ends. */
    private record Release(double inMillis, double cpuMillis) {}

    /**
     * Projects the room.
     *
     * @param usable servers that may take a task now
     * @param settling servers that will after a change of leader
     * @param settleMillis within which time they will
     * @param nowNanos the monotonic time
     */
    CapacityForecast(
            List<BackendServer> usable,
            List<BackendServer> settling,
            long settleMillis,
            long nowNanos) {
        mKnown = new ArrayList<>(usable);
        mKnown.addAll(settling);
        mPaces = SlowdownRange.of(usable);
        mFree = usefulRoom(usable);
        double capacity = 0;
        for (BackendServer server : usable) {
            capacity += server.entry().capacity().cpuMillis();
            double pace = server.slowdown().ratio(mPaces.usual());
            for (ServerRun run : server.runs()) {
                if (run.mLongRunning && !run.stopOrdered()) {
                    continue;
                }
                double left = leftMillis(run, pace, nowNanos);
                mReleases.add(new Release(left, run.mDemand.cpuMillis()));
            }
        }
        for (BackendServer server : settling) {
            double room = server.entry().capacity().cpuMillis();
            capacity += room;
            mReleases.add(new Release(SETTLED_SHARE * settleMillis, room));
        }
        mCapacity = capacity;
        mReleases.sort(Comparator.comparingDouble(Release::inMillis));
    }

    /** Returns the servers whose room is projected. */
    List<BackendServer> servers() {
        return mKnown;
    }

    SlowdownRange paces() {
        return mPaces;
    }

    double capacity() {
        return mCapacity;
    }

    /**
     * Returns the wait until an amount of room has come free.
     *
     * @param wanted the room in thousandths of a core
     * @param work the processor time that those who want it take, in thousandths of a core times ms
     */
    double waitMillis(double wanted, double work) {
        if (mCapacity == 0) {
            return NO_SERVER_MILLIS;
        }
        double free = mFree;
        if (free >= wanted) {
            return 0;
        }
        double running = 0;
        for (Release release : mReleases) {
            free += release.cpuMillis();
            running += release.cpuMillis() * release.inMillis();
            if (free >= wanted) {
                return release.inMillis();
            }
        }
        return (running + work) / mCapacity;
    }

    /** Sums the unused room of servers that have enough of it for a usual task. */
    static double usefulRoom(Collection<BackendServer> servers) {
        double useful = 0;
        for (BackendServer server : servers) {
            double unused = server.freeCapacity().cpuMillis();
            if (unused > SMALLEST_USEFUL_SHARE * server.entry().capacity().cpuMillis()) {
                useful += unused;
            }
        }
        return useful;
    }

    private static double leftMillis(ServerRun run, double pace, long nowNanos) {
        if (run.stopOrdered()) {
            return STOP_MILLIS;
        }
        double expected = pace * run.mEstimateMillis;
        double left = expected - (nowNanos - run.mSentNanos) / MILLI;
        return Math.max(left, OVERDUE_SHARE * expected);
    }
}
