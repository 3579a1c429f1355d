package org.wagtailproxy.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailproxy.leadership.PeerTable;
import org.wagtailproxy.leadership.SuspensionDetector;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.JobId;

/**
 * Decides whether tasks of a job may still run on servers that this leader has not polled yet, so
 * that they are not started twice.
 *
 * <p>Designed for changes of leader. An earlier leader that handed the job over has reported which
 * servers run it, and polls of these show its runs. One that did not may still start tasks of the
 * job, also on a server that was polled already, or run them on a server that is not listed here.
 * Only polls sent after no other instance of the pool led are proof, and only if the list of
 * servers is known to be complete; otherwise the leases have to expire. That a server has accepted
 * the fencing token of this leader is no proof by itself: a leader that is alive raises its own one
 * and regains the server. After it no longer does, the token fences the start commands that are
 * still under way.
 *
 * <p>Tasks of stored jobs wait until the authority of every former coordinator has lapsed, and the
 * leases that it has requested last.
 */
final class DuplicateRunGuard {

    /** Longest pause between two probes to a leader, whose last answer may be that old. */
    private static final long PROBE_INTERVAL_MILLIS = 100;

    /**
     * Added to the lease of runs that an earlier leader may have started. It may still send
     * commands for this time after a home has given it up, before it gives up the home: it may find
     * the home unresponsive later, and its process may be paused by then.
     */
    static final long STEP_DOWN_MARGIN_MILLIS =
            PeerTable.MAX_DETECTION_SPREAD_MILLIS
                    + PROBE_INTERVAL_MILLIS
                    + ServiceScheduler.MAX_TICK_PAUSE_MILLIS;

    private static final long STEP_DOWN_MARGIN_NANOS =
            TimeUnit.MILLISECONDS.toNanos(STEP_DOWN_MARGIN_MILLIS);

    /**
     * Time after which the lists of all instances lack a server that the directory does not list. A
     * leader that loses its watch in an outage of the store notices it 3.3 s later, reaches the
     * store again 0.3 s later, keeps missing servers for 2.5 s and publishes its list at its next
     * tick.
     */
    private static final long REMOVAL_KNOWN_NANOS = TimeUnit.SECONDS.toNanos(7);

    /**
     * Added to the lease of runs that a former coordinator of the stored jobs has started: a
     * suspension of its machine that is too short to be detected, and the error of its estimates of
     * the clocks of servers.
     */
    private static final long FORMER_COORDINATOR_MARGIN_MILLIS =
            SuspensionDetector.SUSPENSION_THRESHOLD_MILLIS + 50;

    private final long mLeaseWithMarginNanos;
    private final long mStoredLeaseWithMarginNanos;

    /** Since when no former coordinator starts tasks of stored jobs or extends their leases. */
    private long mFormerCoordinatorEndedNanos = StoredJobScheduling.NOT_ENDED_NANOS;

    private long mListIncompleteUntilNanos = Long.MIN_VALUE;
    private long mListReadNanos = Long.MIN_VALUE;
    private long mTrackedSinceNanos = ScheduledJob.NEVER_NANOS;
    private long mServerRemovedNanos = Long.MIN_VALUE / 2;

    /** Data centres whose servers are listed here. */
    private DataCentreScope mScope = DataCentreScope.ALL;

    /** Ended jobs whose tasks an earlier leader may still run. Callers may send them again. */
    private final Map<JobId, ScheduledJob> mEndedJobs = new HashMap<>();

    DuplicateRunGuard(LeaseTiming timing) {
        mLeaseWithMarginNanos =
                TimeUnit.MILLISECONDS.toNanos(
                        ServerClock.longestMillis(timing.leaseMillis()) + STEP_DOWN_MARGIN_MILLIS);
        mStoredLeaseWithMarginNanos =
                TimeUnit.MILLISECONDS.toNanos(
                        ServerClock.longestMillis(timing.leaseMillis())
                                + FORMER_COORDINATOR_MARGIN_MILLIS);
    }

    /** Records since when no former coordinator starts tasks of stored jobs. */
    void recordFormerCoordinatorEnded(long nanos) {
        mFormerCoordinatorEndedNanos = nanos;
    }

    /**
     * Records that jobs accepted before the given time may run on servers that are not known here.
     */
    void assumeIncompleteServerList(long untilNanos) {
        mListIncompleteUntilNanos = Math.max(mListIncompleteUntilNanos, untilNanos);
    }

    /**
     * Records that no other instance of the pool led at a time. Returns true if servers have to be
     * polled again: the former leader of a job may have started its tasks until then.
     */
    boolean recordNoOtherLeader(Collection<ScheduledJob> jobs, long nanos) {
        boolean isFirstProof = false;
        for (ScheduledJob job : jobs) {
            isFirstProof |= job.recordNoOtherLeader(nanos);
        }
        mEndedJobs.values().forEach(job -> job.recordNoOtherLeader(nanos));
        return isFirstProof;
    }

    /**
     * Records of each job that was accepted long enough ago that its earlier leaders have given up
     * its homes by now, whether they have told so or not. Returns the same as {@link
     * #recordNoOtherLeader}.
     */
    boolean recordStepDowns(Collection<ScheduledJob> jobs, long nowNanos) {
        boolean isFirstProof = false;
        for (ScheduledJob job : jobs) {
            isFirstProof |= recordStepDown(job, nowNanos);
        }
        mEndedJobs.values().forEach(job -> recordStepDown(job, nowNanos));
        return isFirstProof;
    }

    private static boolean recordStepDown(ScheduledJob job, long nowNanos) {
        return nowNanos - job.mAcceptedNanos > STEP_DOWN_MARGIN_NANOS
                && job.recordNoOtherLeader(nowNanos);
    }

    /**
     * Records that the list of servers is as complete as the directory was at a time, and since
     * when no server can have been listed and removed again without being known here.
     */
    void recordListRead(long nanos, long trackedSinceNanos) {
        mListReadNanos = Math.max(mListReadNanos, nanos);
        mTrackedSinceNanos = trackedSinceNanos;
    }

    /** Updates the data centres whose servers are listed here. */
    void updateScope(DataCentreScope scope) {
        mScope = scope;
    }

    /** Records that a server is no longer listed, although an earlier leader may still use it. */
    void onServerRemoved(long nowNanos) {
        mServerRemovedNanos = nowNanos;
    }

    /**
     * Checks whether every server on which an earlier leader may run the job is listed. A server
     * that is missing may be alive, but no leader has started the job there if the lists of all
     * lacked it before the job arrived.
     */
    private boolean isListComplete(ScheduledJob job) {
        long lastMissedNanos = Math.max(mServerRemovedNanos, mTrackedSinceNanos);
        return mScope.containsAll(job.inheritedScope())
                && job.mAcceptedNanos < mListReadNanos
                && job.mAcceptedNanos >= mListIncompleteUntilNanos
                && lastMissedNanos + REMOVAL_KNOWN_NANOS < job.mMayRunSinceNanos;
    }

    /** Remembers a job that ends while an earlier leader may still run its tasks. */
    void onJobEnding(ScheduledJob job, ServerSet servers, long nowNanos) {
        if (mayStillRun(job, servers, nowNanos)) {
            mEndedJobs.put(job.mSpec.id(), job);
        }
    }

    /** Marks a new job as inherited if it has ended here while its tasks may still run. */
    void onJobAdded(ScheduledJob job, long nowNanos) {
        ScheduledJob ended = mEndedJobs.remove(job.mSpec.id());
        if (ended != null) {
            job.updateInherited(
                    ended.progress(), job.isInherited() ? nowNanos : ended.mAcceptedNanos);
            job.mMayRunSinceNanos = Math.min(job.mMayRunSinceNanos, ended.mMayRunSinceNanos);
        }
    }

    void removeSettledJobs(ServerSet servers, long nowNanos) {
        mEndedJobs.values().removeIf(job -> !mayStillRun(job, servers, nowNanos));
    }

    /** Returns why {@link #mayStillRun} is false for an inherited job. */
    InheritedJobEvidence evidence(ScheduledJob job, long nowNanos) {
        if (job.mSpec.isStored() || nowNanos - job.mAcceptedNanos > mLeaseWithMarginNanos) {
            return InheritedJobEvidence.LEASES_EXPIRED;
        }
        return job.inheritedServers().isDefined()
                ? InheritedJobEvidence.FORMER_SERVERS_POLLED
                : InheritedJobEvidence.ALL_SERVERS_POLLED;
    }

    boolean mayStillRun(ScheduledJob job, ServerSet servers, long nowNanos) {
        if (job.mSpec.isStored()) {
            return job.isInherited()
                    && nowNanos - mFormerCoordinatorEndedNanos <= mStoredLeaseWithMarginNanos;
        }
        if (!job.isInherited() || nowNanos - job.mAcceptedNanos > mLeaseWithMarginNanos) {
            return false;
        }
        if (job.inheritedServers().isDefined()) {
            return !servers.polledSince(job.inheritedServers().get(), job.mAcceptedNanos);
        }
        return !isListComplete(job) || !servers.allPolledSince(job.noOtherLeaderSinceNanos());
    }
}
