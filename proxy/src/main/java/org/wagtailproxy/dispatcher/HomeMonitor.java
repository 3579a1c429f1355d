package org.wagtailproxy.dispatcher;

import io.vavr.control.Option;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.LifeSign;
import org.wagtailproxy.leadership.LifeSigns;
import org.wagtailproxy.leadership.MessageAge;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Presence;

/**
 * Decides whether the processes that have submitted jobs are alive and still wait for this
 * instance. Confined to the event loop.
 */
final class HomeMonitor implements HomeLiveness {

    private final HomeProcess mSelf;
    private final EventLoop mLoop;
    private final LeaderElection mElection;
    private final LifeSigns mLifeSigns;
    private final LostProcessListener mOnLost;
    private final Runnable mWithdrawDisconnected;

    /** Notified of processes that were lost and are back. */
    interface LostProcessListener {

        /**
         * A process is alive, but was silent for so long that it may have given up the jobs that it
         * has forwarded here.
         *
         * @param isRemote true if it belongs to another pool and may have given up all its jobs
         */
        void onBack(HomeProcess process, boolean isRemote);
    }

    /**
     * Creates a monitor.
     *
     * @param self this process, the home of its own jobs
     * @param lifeSigns the signs of life of other processes, to which the election adds the answers
     *     to its probes
     * @param onLost notified of processes that were lost and are back
     * @param withdrawDisconnected withdraws the jobs of own callers that have disconnected
     */
    HomeMonitor(
            HomeProcess self,
            EventLoop loop,
            LeaderElection election,
            LifeSigns lifeSigns,
            LostProcessListener onLost,
            Runnable withdrawDisconnected) {
        mSelf = self;
        mLoop = loop;
        mElection = election;
        mLifeSigns = lifeSigns;
        mOnLost = onLost;
        mWithdrawDisconnected = withdrawDisconnected;
    }

    /**
     * Records the probe of an instance. One that was silent for too long may have given up the jobs
     * that it has forwarded here, although this process may have been paused and not noticed it. It
     * may have joined the pool meanwhile.
     *
     * @param isRemote true if the instance belongs to another pool
     */
    void onProbeReceived(Presence probe, boolean isRemote) {
        InstanceName name = InstanceName.of(probe.getName());
        LifeSign sign = PresenceMessages.lifeSign(probe, name, mElection.sentNanos(probe));
        boolean wasLost = mLifeSigns.wasLost(sign.process(), mLoop.nowNanos());
        mLifeSigns.recordProbe(sign, mLoop.nowNanos());
        if (wasLost) {
            mOnLost.onBack(sign.process(), isRemote);
        }
    }

    /**
     * Records that a process has submitted a job.
     *
     * @param isForwarder true if the job was forwarded by the leader of another data centre
     * @param clockNanos the clock of this instance that the submission carries
     */
    void recordSubmission(HomeProcess home, boolean isForwarder, long clockNanos) {
        boolean isClockKnown = clockNanos != MessageAge.UNKNOWN_CLOCK_NANOS;
        mLifeSigns.recordSubmission(
                home,
                Option.when(!isForwarder, mSelf.name()),
                isClockKnown ? clockNanos : mLoop.nowNanos());
        if (!isForwarder) {
            mElection.recordFollower(home.name());
        }
    }

    /** Forgets processes that have shown no sign of life for long. */
    void tick() {
        mLifeSigns.removeOld(mLoop.nowNanos());
    }

    @Override
    public boolean isHomeAlive(HomeProcess home) {
        return home.equals(mSelf) || mLifeSigns.isFollowing(home, mSelf.name(), mLoop.nowNanos());
    }

    @Override
    public boolean isForwarderAlive(HomeProcess forwarder) {
        return mLifeSigns.isAlive(forwarder, mLoop.nowNanos());
    }

    @Override
    public void withdrawJobsOfDisconnectedCallers() {
        mWithdrawDisconnected.run();
    }

    /**
     * Checks whether a home waits for the jobs that this instance has forwarded for it. After the
     * end of its leadership it still relays their answers to homes that follow the next leader.
     */
    boolean isWaitingForForwardedJob(HomeProcess home) {
        boolean isFollower = !mElection.isLeader() || isHomeAlive(home);
        return home.equals(mSelf) || isFollower && mLifeSigns.isAlive(home, mLoop.nowNanos());
    }
}
