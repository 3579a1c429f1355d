package org.wagtailproxy.dispatcher;

import org.wagtailproxy.leadership.InstanceName;

/**
 * Decides from probes and requests whether the home instances of jobs are alive and still wait for
 * this instance. Confined to the event loop.
 */
final class HomeMonitor {

    private final InstanceName mSelf;
    private final LeaderElection mElection;
    private final RemoteLeaders mRemote;

    HomeMonitor(InstanceName self, LeaderElection election, RemoteLeaders remote) {
        mSelf = self;
        mElection = election;
        mRemote = remote;
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
