package org.wagtailproxy.leadership;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Decides from signs of life whether the process that has submitted a job still waits for it.
 *
 * <p>The callers of a lost process submit their jobs again elsewhere, where the tasks are started
 * as new ones. So a leader may start tasks, or go on with them, only while it has recent evidence
 * that the very process that has submitted them is alive. A sign of another process of the same
 * instance is no evidence, and a sign counts from when it was sent, however late it arrives.
 *
 * <p>While this machine is suspended its clock stands still, so no sign of before counts after it.
 * The clocks of the other processes tell how long they heard nothing of this one. Not thread-safe;
 * confined to one thread.
 */
public final class LifeSigns {

    /**
     * Time after the last answered probe was sent after which a process is lost. Its callers submit
     * their jobs again 1,300 ms after their connections broke; a tick, the stops and their way to
     * the backend servers have to fit in between.
     */
    static final long ANSWER_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /**
     * The same after the last request was sent; also for answers if the job is forwarded. The
     * remote leader has to count this instance as lost within the rest of the time if the
     * withdrawal is lost.
     */
    static final long REQUEST_VALID_NANOS = PeerTable.UNRESPONSIVE_AFTER_NANOS;

    /** Time after which signs are forgotten; far above the time in which they are evidence. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Advance of another clock over the own one that shows a suspension; two ticks. */
    private static final long SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time for which the lead of another clock is known; clocks differ in rate by far less. */
    private static final long LEAD_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long UNKNOWN_LEAD_NANOS = Long.MAX_VALUE / 2;

    private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

    private static final long UNKNOWN_CLOCK_NANOS = Long.MIN_VALUE;

    private final Listener mListener;
    private final Map<HomeProcess, Signs> mSigns = new HashMap<>();
    private long mSuspendedNanos = NEVER_NANOS;

    /** What one process has shown of itself. */
    private static final class Signs {

        /** When the last probe was sent that the process has answered. */
        private long mAnsweredNanos = NEVER_NANOS;

        /** The latest time at or before which a request of the process was sent. */
        private long mRequestedNanos = NEVER_NANOS;

        /** When the latest sign was sent, whether it still counts or not. */
        private long mLatestNanos = NEVER_NANOS;

        /** The clock of the process in the latest status that it has sent. */
        private long mStatusClockNanos = UNKNOWN_CLOCK_NANOS;

        /** The clock of the process in its latest answer, when it has heard of this one. */
        private long mAnswerClockNanos = UNKNOWN_CLOCK_NANOS;

        /** The most by which its clock was ahead of the own one, since a time. */
        private long mLeadNanos = UNKNOWN_LEAD_NANOS;

        private long mLeadSinceNanos = NEVER_NANOS;

        private Option<InstanceName> mFollows = Option.none();

        /** When the latest status was received. */
        private long mStatusNanos = NEVER_NANOS;

        private boolean isValid(long answerValidNanos, long nowNanos) {
            return nowNanos - mAnsweredNanos <= answerValidNanos
                    || nowNanos - mRequestedNanos <= REQUEST_VALID_NANOS;
        }

        /** Lets no sign so far count any more. */
        private void forget() {
            mAnsweredNanos = NEVER_NANOS;
            mRequestedNanos = NEVER_NANOS;
        }

        private boolean isRetained(long nowNanos) {
            return nowNanos - mLatestNanos <= RETENTION_NANOS;
        }
    }

    /** Notified of what the clocks of other processes show. */
    public interface Listener {

        /**
         * A process is alive, but has heard nothing of this one for so long that it may have given
         * up its jobs here.
         *
         * @param process the process, never null
         */
        void onInterrupted(HomeProcess process);

        /** This machine was suspended, whatever its own clocks show. */
        void onSuspensionShown();
    }

    /**
     * Creates a decision that knows of no process.
     *
     * @param listener the listener, not null
     */
    public LifeSigns(Listener listener) {
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Records the answer of a process to a probe.
     *
     * @param sign the answer, which counts as sent when the probe was; not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void recordAnswer(LifeSign sign, long nowNanos) {
        Signs signs = signsOf(sign.process());
        signs.mLatestNanos = Math.max(signs.mLatestNanos, sign.sentNanos());
        if (sign.sentNanos() >= mSuspendedNanos) {
            signs.mAnsweredNanos = Math.max(signs.mAnsweredNanos, sign.sentNanos());
        }
        removeFormerProcesses(sign);
        checkInterruption(signs, sign);
        updateStatus(signs, sign, nowNanos);
        updateLead(signs, sign, nowNanos);
    }

    /**
     * Records a probe of a process.
     *
     * @param sign the probe, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void recordProbe(LifeSign sign, long nowNanos) {
        Signs signs = signsOf(sign.process());
        recordRequest(signs, sign.sentNanos());
        updateStatus(signs, sign, nowNanos);
    }

    /**
     * Records that a process has submitted a job, which shows whom it follows, unless its status
     * may be newer.
     *
     * @param process the process, not null
     * @param leader the leader that it follows, none if it forwards the job; not null
     * @param sentNanos a monotonic time here at or before which the job was sent, in nanoseconds
     */
    public void recordSubmission(HomeProcess process, Option<InstanceName> leader, long sentNanos) {
        Signs signs = signsOf(process);
        recordRequest(signs, sentNanos);
        leader.filter(name -> !mayHaveLeftSince(process, name, sentNanos))
                .forEach(name -> signs.mFollows = Option.some(name));
    }

    /**
     * Checks whether a process follows another leader, as far as it has reported, and whether it
     * may have sent a request before that report.
     *
     * @param process the process, not null
     * @param leader the name of the leader that the request was sent to, not null
     * @param sentNanos a monotonic time here at or before which the request was sent, in
     *     nanoseconds
     * @return true if the process may have left since it sent the request
     */
    public boolean mayHaveLeftSince(HomeProcess process, InstanceName leader, long sentNanos) {
        Signs signs = mSigns.get(process);
        return signs != null
                && signs.mFollows.exists(name -> !name.equals(leader))
                && signs.mStatusNanos >= sentNanos;
    }

    private void recordRequest(Signs signs, long sentNanos) {
        signs.mLatestNanos = Math.max(signs.mLatestNanos, sentNanos);
        if (sentNanos >= mSuspendedNanos) {
            signs.mRequestedNanos = Math.max(signs.mRequestedNanos, sentNanos);
        }
    }

    /** Updates the status of a process; one that was overtaken by a later one does not count. */
    private void updateStatus(Signs signs, LifeSign sign, long nowNanos) {
        if (sign.clockNanos() < signs.mStatusClockNanos) {
            return;
        }
        signs.mStatusClockNanos = sign.clockNanos();
        signs.mStatusNanos = nowNanos;
        signs.mFollows = sign.follows();
        // The clock was read before now, so its lead is at least this.
        if (sign.clockNanos() - nowNanos > signs.mLeadNanos + SUSPENSION_NANOS) {
            mListener.onSuspensionShown();
        }
    }

    /**
     * Updates by how much the clock of a process is ahead of the own one, which only a suspension
     * of this machine raises. It was read after the probe was sent, so its lead is at most this.
     */
    private static void updateLead(Signs signs, LifeSign answer, long nowNanos) {
        long leadNanos = answer.clockNanos() - answer.sentNanos();
        boolean isOld = nowNanos - signs.mLeadSinceNanos > LEAD_RETENTION_NANOS;
        if (isOld || leadNanos < signs.mLeadNanos) {
            signs.mLeadNanos = leadNanos;
            signs.mLeadSinceNanos = nowNanos;
        }
    }

    /** Checks how long a process has heard nothing of this one, by its own clock. */
    private void checkInterruption(Signs signs, LifeSign answer) {
        boolean isFirst = signs.mAnswerClockNanos == UNKNOWN_CLOCK_NANOS;
        long silentNanos = isFirst ? 0 : answer.clockNanos() - signs.mAnswerClockNanos;
        signs.mAnswerClockNanos = Math.max(signs.mAnswerClockNanos, answer.clockNanos());
        if (silentNanos > ANSWER_VALID_NANOS) {
            mListener.onInterrupted(answer.process());
        }
    }

    /** An answer of one process shows that the others of the same instance are gone. */
    private void removeFormerProcesses(LifeSign answer) {
        mSigns.forEach(
                (process, signs) -> {
                    boolean isOther =
                            process.name().equals(answer.process().name())
                                    && !process.equals(answer.process());
                    if (isOther && signs.mLatestNanos < answer.sentNanos()) {
                        signs.forget();
                    }
                });
    }

    private Signs signsOf(HomeProcess process) {
        return mSigns.computeIfAbsent(process, key -> new Signs());
    }

    /**
     * Records that an instance was found unreachable. Its answers no longer count; its requests do,
     * as they may arrive while only the way to the instance is cut.
     *
     * @param name the name of the instance, not null
     */
    public void onUnreachable(InstanceName name) {
        mSigns.forEach(
                (process, signs) -> {
                    if (process.name().equals(name)) {
                        signs.mAnsweredNanos = NEVER_NANOS;
                    }
                });
    }

    /**
     * Records that this machine may have been suspended. Only signs that are sent from now on
     * count.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSuspension(long nowNanos) {
        mSuspendedNanos = nowNanos;
        for (Signs signs : mSigns.values()) {
            signs.forget();
            signs.mLeadNanos = UNKNOWN_LEAD_NANOS;
        }
    }

    /**
     * Forgets the processes that have shown no sign for long.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void removeOld(long nowNanos) {
        mSigns.values().removeIf(signs -> !signs.isRetained(nowNanos));
    }

    /**
     * Checks whether a process is alive and follows a leader, so that this one may run its jobs.
     *
     * @param process the process, not null
     * @param leader the name of the leader, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if recent signs show it
     */
    public boolean isFollowing(HomeProcess process, InstanceName leader, long nowNanos) {
        Signs signs = mSigns.get(process);
        return signs != null
                && signs.mFollows.contains(leader)
                && signs.isValid(ANSWER_VALID_NANOS, nowNanos);
    }

    /**
     * Checks whether a process is alive, so that jobs may run that it has forwarded or whose
     * forwarding it waits for.
     *
     * @param process the process, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if recent signs show it
     */
    public boolean isAlive(HomeProcess process, long nowNanos) {
        Signs signs = mSigns.get(process);
        return signs != null && signs.isValid(REQUEST_VALID_NANOS, nowNanos);
    }

    /**
     * Checks whether a process was lost, since its signs are no longer evidence.
     *
     * @param process the process, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if it has shown signs of life, but none recently
     */
    public boolean wasLost(HomeProcess process, long nowNanos) {
        return mSigns.containsKey(process) && !isAlive(process, nowNanos);
    }
}
