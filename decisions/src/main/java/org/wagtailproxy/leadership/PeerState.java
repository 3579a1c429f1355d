package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.workload.DataCentreScope;

/**
 * Represents what {@link PeerTable} knows of one peer: its registration, its answers to probes and
 * the status that it reports. Not thread-safe; confined to one thread.
 */
final class PeerState {

    /** Time after a peer became reachable in which it may still be loading its code. */
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The scope of a peer that has not reported one. */
    static final DataCentreScope UNKNOWN_SCOPE = DataCentreScope.ALL.withUnlisted(true);

    final InstanceRecord mFirstRecord;
    HostAddress mAddress;
    long mProcessorMillis;
    long mSeniority;
    boolean mRegistered;
    boolean mDraining;
    boolean mProbeOutstanding;

    /** True if it is not known whom the peer follows since this machine was suspended. */
    boolean mUnconfirmed;

    boolean mReachable;
    boolean mRefusesConnections;
    boolean mPartitioned;
    boolean mCoordinatesStoredJobs;
    StoreContact mStoreContact = StoreContact.ASSUMED;
    boolean mOverloaded;
    boolean mProbedRarely;

    /** True if the last answer may be older than that of a peer that is probed in every tick. */
    boolean mLastAnswerMayBeOlder;

    int mConsecutiveTimeouts;
    long mProbedNanos = Long.MIN_VALUE / 2;
    long mAnsweredNanos;

    /** When the last probe was sent whose answer shows that the peer does not lead. */
    long mNotLeadingNanos = Long.MIN_VALUE;

    long mReachedNanos;

    long mSeniorityWhenLost = -1;
    Option<InstanceName> mFollows = Option.none();

    DataCentreScope mScope = UNKNOWN_SCOPE;
    long mClockNanos = MessageAge.UNKNOWN_CLOCK_NANOS;

    /** When the last status of the peer was received. */
    long mStatusNanos = Long.MIN_VALUE;

    PeerState(InstanceRecord record) {
        mFirstRecord = record;
        mSeniority = record.seniority();
    }

    InstanceName name() {
        return mFirstRecord.name();
    }

    /** Checks whether a status was sent before the last one that is known, by the same process. */
    boolean isLaterThan(PeerStatus status) {
        return status.seniority() == mSeniority
                && status.clockNanos() != MessageAge.UNKNOWN_CLOCK_NANOS
                && mClockNanos != MessageAge.UNKNOWN_CLOCK_NANOS
                && status.clockNanos() < mClockNanos;
    }

    /** Its registration has run out, but it may be alive behind a network partition. */
    boolean isGone() {
        return !mRegistered && !mReachable;
    }

    InstanceRecord toRecord() {
        return new InstanceRecord(
                name(), mFirstRecord.dataCentre(), mAddress, mProcessorMillis, mSeniority);
    }

    Peer toPeer() {
        return new Peer(
                mFirstRecord.name(),
                mFirstRecord.dataCentre(),
                mAddress,
                mProcessorMillis,
                mSeniority,
                mReachable,
                mDraining,
                mStoreContact,
                mOverloaded,
                mFollows);
    }

    boolean isUnresponsive(long nowNanos) {
        boolean warmingUp = nowNanos - mReachedNanos < WARM_UP_NANOS;
        long unresponsiveAfter =
                warmingUp
                        ? PeerTable.WARM_UP_UNRESPONSIVE_AFTER_NANOS
                        : PeerTable.UNRESPONSIVE_AFTER_NANOS;
        long probeInterval = mLastAnswerMayBeOlder ? PeerTable.RARE_PROBE_INTERVAL_NANOS : 0;
        return mReachable && nowNanos - mAnsweredNanos > unresponsiveAfter + probeInterval;
    }
}
