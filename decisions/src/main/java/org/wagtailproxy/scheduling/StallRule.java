package org.wagtailproxy.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Stops runs that take far longer than expected and hardly move, so that they are placed elsewhere.
 *
 * <p>Answers servers whose tasks stand still while they themselves answer.
 */
final class StallRule {

    private static final double MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final SchedulerTuning mTuning;

    StallRule(SchedulerTuning tuning) {
        mTuning = tuning;
    }

    void stopStalled(ServerLedger server, long nowNanos) {
        double pace = server.pace().ratio(1);
        for (ServerRun run : List.copyOf(server.runs())) {
            if (run.mState != ServerRun.State.RUNNING || run.mLasting) {
                continue;
            }
            double tookMillis = (nowNanos - run.mSentNanos) / MILLI;
            double limit = mTuning.stallFactor() * pace * run.mEstimateMillis;
            boolean moving = run.mPercent * limit >= 100 * tookMillis / mTuning.stallFactor();
            if (tookMillis > limit + mTuning.stallMillis() && !moving) {
                server.health().failed(run.mSentNanos, nowNanos);
                server.stop(run.mTask, nowNanos);
            }
        }
    }
}
