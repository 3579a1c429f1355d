package org.wagtailproxy.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Stops stalled runs, so that their tasks are placed on other servers. A run is stalled if it takes
 * far longer than expected and makes hardly any progress.
 *
 * <p>Designed for servers that answer polls while their tasks make no progress.
 */
final class StallDetector {

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final SchedulerTuning mTuning;

    StallDetector(SchedulerTuning tuning) {
        mTuning = tuning;
    }

    void stopStalled(BackendServer server, long nowNanos) {
        double slowdown = server.slowdown().ratio(1);
        for (ServerRun run : List.copyOf(server.runs())) {
            if (run.mState != ServerRun.State.RUNNING || run.mLongRunning) {
                continue;
            }
            double tookMillis = (nowNanos - run.mSentNanos) / NANOS_PER_MILLI;
            double limit = mTuning.stallFactor() * slowdown * run.mEstimateMillis;
            boolean progressing = run.mPercent * limit >= 100 * tookMillis / mTuning.stallFactor();
            if (tookMillis > limit + mTuning.stallMillis() && !progressing) {
                server.health().recordFailure(run.mSentNanos, nowNanos);
                server.stop(run.mTask, nowNanos);
            }
        }
    }
}
