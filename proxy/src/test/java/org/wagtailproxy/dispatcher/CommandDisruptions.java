package org.wagtailproxy.dispatcher;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import org.wagtailproxy.fleet.ServerId;

/** Commands to backend servers that are carried out late or sent on silent connections. */
final class CommandDisruptions {

    private static final int MIN_LATE_MILLIS = 2000;
    private static final int MAX_LATE_MILLIS = 12_000;

    private final VirtualTime mTime;
    private final Map<Path, Silence> mSilences = new HashMap<>();
    private BiPredicate<SimulatedServer, Kind> mLate = (server, kind) -> false;
    private double mLateShare;

    /** Starts and stops, and polls, which prolong leases. */
    enum Kind {
        ORDER,
        GRANT
    }

    /** What becomes of a command. */
    enum Fate {
        ANSWERED,
        LOST,
        DONE_UNANSWERED,
        LATE
    }

    private record Path(SimulatedProcess process, ServerId server) {}

    /** A connection that is silent until the sender has given up some calls on it. */
    private static final class Silence {
        private final long mSinceNanos;
        private final boolean mArrives;
        private int mCalls;

        private Silence(long sinceNanos, boolean arrives, int calls) {
            mSinceNanos = sinceNanos;
            mArrives = arrives;
            mCalls = calls;
        }
    }

    CommandDisruptions(VirtualTime time) {
        mTime = time;
    }

    /** Carries out a share of some commands late for a while. */
    void delay(BiPredicate<SimulatedServer, Kind> commands, double share, long millis) {
        mLate = commands;
        mLateShare = share;
        mTime.after(
                millis,
                () -> {
                    if (mLate == commands) {
                        mLateShare = 0;
                    }
                });
    }

    /** Lets the connection of a process to a server go silent, in one direction or both. */
    void silence(SimulatedProcess process, SimulatedServer server) {
        Silence silence =
                new Silence(
                        mTime.nowNanos(), mTime.chance(0.5), Math.toIntExact(mTime.between(0, 3)));
        mSilences.put(new Path(process, server.mId), silence);
    }

    Fate draw(SimulatedProcess process, SimulatedServer server, Kind kind) {
        Silence silence = mSilences.get(new Path(process, server.mId));
        if (silence != null && silence.mCalls > 0) {
            silence.mCalls--;
            return silence.mArrives ? Fate.DONE_UNANSWERED : Fate.LOST;
        }
        if (mLateShare > 0 && mLate.test(server, kind) && mTime.chance(mLateShare)) {
            return Fate.LATE;
        }
        return Fate.ANSWERED;
    }

    /** Checks whether the connection of a call has gone silent since the call was sent. */
    boolean isSilentSince(SimulatedProcess process, SimulatedServer server, long sentNanos) {
        Silence silence = mSilences.get(new Path(process, server.mId));
        return silence != null && silence.mSinceNanos >= sentNanos;
    }

    long drawLateMillis() {
        return mTime.between(MIN_LATE_MILLIS, MAX_LATE_MILLIS);
    }
}
