package org.wagtailproxy.dispatcher;

import io.vavr.control.Option;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.wagtailproxy.coordination.CoordinatorAuthority;
import org.wagtailproxy.coordination.CoordinatorAuthority.Evidence;
import org.wagtailproxy.coordination.FormerCoordinator;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.serve.EventLoop;

/**
 * What shows in a term that this instance alone coordinates the stored jobs: the confirmations of
 * the store, the support of electors, and the end of the coordinators before it. Confined to the
 * event loop.
 */
final class TermAuthority {

    private final EventLoop mLoop;
    private final EventLog mLog;
    private final LongConsumer mOnFormerEnded;
    private final CoordinatorAuthority mAuthority = new CoordinatorAuthority();
    private Option<FormerCoordinator> mFormer = Option.none();
    private Evidence mLoggedEvidence = Evidence.STORE;
    private boolean mFormerEnded;
    private long mConfirmedNanos;

    /**
     * Creates the authority of a term that has not begun.
     *
     * @param onFormerEnded receives the monotonic time since which no former coordinator starts
     *     tasks of stored jobs, in nanoseconds
     */
    TermAuthority(EventLoop loop, EventLog log, LongConsumer onFormerEnded) {
        mLoop = loop;
        mLog = log;
        mOnFormerEnded = onFormerEnded;
    }

    /**
     * Records that the guard has been written.
     *
     * @param formerElectors the electors of the former coordinators
     * @param storedJobsPossible false if they had no stored jobs, so that nothing of theirs runs
     */
    void begin(Set<Set<InstanceName>> formerElectors, boolean storedJobsPossible) {
        if (storedJobsPossible) {
            mFormer = Option.some(FormerCoordinator.of(formerElectors, mLoop.nowNanos()));
        } else {
            endFormer(mLoop.nowNanos());
        }
    }

    /** Checks whether tasks of stored jobs may be started. */
    boolean isValid(long nowNanos) {
        return mAuthority.isValid(nowNanos);
    }

    /** Checks whether the authority rests on the store. */
    boolean isConfirmedByStore() {
        return mAuthority.evidence(mLoop.nowNanos()) == Evidence.STORE;
    }

    /** Checks whether no former coordinator starts tasks of stored jobs any more. */
    boolean hasFormerEnded() {
        return mFormerEnded;
    }

    void onConfirmed(long askedNanos, Set<Set<InstanceName>> electors) {
        mConfirmedNanos = Math.max(mConfirmedNanos, askedNanos);
        mAuthority.updateElectors(electors);
        mAuthority.onStoreConfirmed(askedNanos);
    }

    /** Returns when the store was asked for its latest confirmation. */
    long confirmedNanos() {
        return mConfirmedNanos;
    }

    /** Records that an elector supports this instance, and when it was asked. */
    void onSupported(InstanceName elector, long askedNanos) {
        mAuthority.onSupported(elector, askedNanos, mLoop.nowNanos());
        mFormer.forEach(former -> former.onSupported(elector, askedNanos));
    }

    /** Records that this machine may have been suspended. */
    void onSuspension() {
        mAuthority.onSuspension();
    }

    /**
     * Checks whether the former coordinators have ended, and logs a change of what the authority
     * rests on.
     *
     * @param hasJobs true if there are stored jobs; without any the store is not asked
     */
    void tick(boolean hasJobs) {
        long nowNanos = mLoop.nowNanos();
        if (!mFormerEnded) {
            mFormer.flatMap(former -> former.endedNanos(nowNanos)).forEach(this::endFormer);
        }
        Evidence evidence = mAuthority.evidence(nowNanos);
        if (!hasJobs || evidence == mLoggedEvidence) {
            return;
        }
        mLoggedEvidence = evidence;
        mLog.event(EventName.COORDINATION_CHANGED)
                .with(EventField.OUTCOME, evidence)
                .with(EventField.MILLISECONDS, millisSince(mConfirmedNanos))
                .info();
    }

    private void endFormer(long endedNanos) {
        mFormerEnded = true;
        mFormer.forEach(
                former ->
                        mLog.event(EventName.FORMER_COORDINATOR_ENDED)
                                .with(EventField.REASON, former.reason())
                                .info());
        mOnFormerEnded.accept(endedNanos);
    }

    private long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - nanos);
    }
}
