package org.wagtailproxy.dispatcher;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.wire.Presence;

/**
 * Decides from probes and requests whether the home instances of jobs are alive and still wait for
 * this instance. Confined to the event loop.
 */
final class HomeMonitor {

    /** Number of instances whose lives are told apart; those of several large pools. */
    private static final int MAX_INSTANCES = 1000;

    /** The seniority that each instance has reported last, oldest entry first. */
    private final Map<InstanceName, Long> mSeniorities =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<InstanceName, Long> eldest) {
                    return size() > MAX_INSTANCES;
                }
            };

    private final InstanceName mSelf;
    private final LeaderElection mElection;
    private final RemoteLeaders mRemote;
    private final Consumer<InstanceName> mOnLost;

    /**
     * Creates a monitor that knows no instance.
     *
     * @param onLost receives instances that are alive, but may have given up their jobs here
     */
    HomeMonitor(
            InstanceName self,
            LeaderElection election,
            RemoteLeaders remote,
            Consumer<InstanceName> onLost) {
        mSelf = self;
        mElection = election;
        mRemote = remote;
        mOnLost = onLost;
    }

    /**
     * Records the probe of an instance. One whose process is not that of the probe before, or that
     * was silent for too long, may have given up its jobs here.
     *
     * @param isRemote true if the instance belongs to another pool
     */
    void onProbeReceived(Presence probe, boolean isRemote) {
        InstanceName name = InstanceName.of(probe.getName());
        boolean isLost = isOfNextProcess(name, probe.getSeniority());
        if (isRemote) {
            Option<InstanceName> follows =
                    Option.of(probe.getFollows()).filter(Names::isName).map(InstanceName::of);
            isLost |= mRemote.onProbeReceived(name, follows, mElection.sentNanos(probe));
        }
        if (isLost) {
            mOnLost.accept(name);
        }
    }

    /** Checks whether a probe comes from a later process; each is registered once. */
    private boolean isOfNextProcess(InstanceName name, long seniority) {
        Long former = mSeniorities.remove(name);
        mSeniorities.put(name, seniority);
        return former != null && former != LeaderElection.UNREGISTERED && former != seniority;
    }

    /** Records that an instance follows this one, since it has submitted a job. */
    void recordFollower(InstanceName name) {
        mRemote.recordFollower(name, mSelf);
    }

    /** Checks whether an instance of another pool has probed this one recently. */
    boolean hasProbedRecently(InstanceName name) {
        return mRemote.hasProbedRecently(name);
    }

    /**
     * Checks whether a home instance is alive. One that follows another leader has submitted its
     * jobs there, whether it was able to withdraw them here or not.
     */
    boolean isHomeAlive(InstanceName home) {
        return home.equals(mSelf) || isFollowingNeighbour(home) || mRemote.isFollowing(home, mSelf);
    }

    private boolean isFollowingNeighbour(InstanceName home) {
        return mElection.isHomeAlive(home) && !mElection.isFollowingAnotherLeader(home);
    }

    /**
     * Checks whether the leader of another data centre that has forwarded a job here is alive. It
     * relays the answer also after the end of its leadership, whomever it follows.
     */
    boolean isForwarderAlive(InstanceName forwarder) {
        return isFollowingNeighbour(forwarder) || mRemote.hasProbedRecently(forwarder);
    }

    /**
     * Checks whether a home instance waits for the jobs that this instance has forwarded for it.
     * After the end of its leadership it still relays their answers to homes that follow the next
     * leader.
     */
    boolean isWaitingForForwardedJob(InstanceName home) {
        boolean isLeader = mElection.isLeader();
        boolean hasLeft = isLeader && mElection.isFollowingAnotherLeader(home);
        boolean isNeighbour = mElection.isHomeOfForwardedJobAlive(home) && !hasLeft;
        boolean isRemote =
                isLeader ? mRemote.isFollowing(home, mSelf) : mRemote.hasProbedRecently(home);
        return home.equals(mSelf) || isNeighbour || isRemote;
    }
}
