package org.wagtailproxy.dispatcher;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Calls of the store that are refused, done without an answer, or sent on silent connections. */
final class StoreDisruptions {

    private static final int MIN_LATE_MILLIS = 1000;
    private static final int MAX_LATE_MILLIS = 6000;

    private final VirtualTime mTime;
    private final Map<SimulatedProcess, Silence> mSilences = new HashMap<>();
    private Predicate<SimulatedNetwork.Host> mRejected = host -> false;
    private Fate mRejection = Fate.REFUSED;
    private double mUnansweredShare;
    private boolean mUnansweredAreLate;
    private boolean mWatchesSilent;
    private long mSlowness = 1;

    /** The kinds of calls. */
    enum Kind {
        READ,
        WRITE,
        LEASE
    }

    /** What becomes of a call. */
    enum Fate {
        ANSWERED,
        REFUSED,
        LOST,
        DONE_UNANSWERED,
        LATE
    }

    /** Connections that are silent until some calls on them have been given up. */
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

    StoreDisruptions(VirtualTime time) {
        mTime = time;
    }

    /** Lets the connections of a process to the store go silent, in one direction or both. */
    void silence(SimulatedProcess process) {
        Silence silence =
                new Silence(
                        mTime.nowNanos(), mTime.chance(0.5), Math.toIntExact(mTime.between(0, 4)));
        mSilences.put(process, silence);
    }

    /** Rejects the calls of some machines for a while. */
    void reject(Predicate<SimulatedNetwork.Host> hosts, boolean isSilent, long millis) {
        mRejected = hosts;
        mRejection = isSilent ? Fate.LOST : Fate.REFUSED;
        mTime.after(
                millis,
                () -> {
                    if (mRejected == hosts) {
                        mRejected = host -> false;
                    }
                });
    }

    /** Does a share of the writes without an answer for a while, at once or late. */
    void leaveUnanswered(double share, boolean areLate, long millis) {
        mUnansweredShare = share;
        mUnansweredAreLate = areLate;
        mTime.after(millis, () -> mUnansweredShare = 0);
    }

    /** Lets calls take a multiple of their time for a while. */
    void slow(long factor, long millis) {
        mSlowness = factor;
        mTime.after(millis, () -> mSlowness = 1);
    }

    long slowness() {
        return mSlowness;
    }

    void silenceWatches(boolean areSilent) {
        mWatchesSilent = areSilent;
    }

    boolean areWatchesSilent() {
        return mWatchesSilent;
    }

    Fate draw(SimulatedProcess process, Kind kind, boolean isNewConnection) {
        if (mRejected.test(process.mHost)) {
            return mRejection;
        }
        Silence silence = mSilences.get(process);
        if (silence != null && silence.mCalls > 0 && !isNewConnection) {
            silence.mCalls--;
            return silence.mArrives ? Fate.DONE_UNANSWERED : Fate.LOST;
        }
        if (kind == Kind.WRITE && mUnansweredShare > 0 && mTime.chance(mUnansweredShare)) {
            return mUnansweredAreLate ? Fate.LATE : Fate.DONE_UNANSWERED;
        }
        return Fate.ANSWERED;
    }

    /** Checks whether the connection of a call has gone silent since the call was sent. */
    boolean isSilentSince(SimulatedProcess process, long sentNanos) {
        Silence silence = mSilences.get(process);
        return silence != null && silence.mSinceNanos >= sentNanos;
    }

    long drawLateMillis() {
        return mTime.between(MIN_LATE_MILLIS, MAX_LATE_MILLIS);
    }
}
