package org.wagtailproxy.dispatcher;

import com.google.common.io.Closer;
import io.vavr.control.Option;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.leadership.LifeSigns;
import org.wagtailproxy.leadership.StoreContact;
import org.wagtailproxy.observe.DispatchState;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.MetricsRecorder;
import org.wagtailproxy.peer.PeerTransport;
import org.wagtailproxy.scheduling.ClaimMode;
import org.wagtailproxy.scheduling.FencingTokenSource;
import org.wagtailproxy.scheduling.SpillOver;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.workload.DataCentreScope;
import org.wagtailproxy.workload.JobCondition;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

/**
 * The dispatcher of one instance: submits the jobs of its callers to the leader, and schedules the
 * jobs of its group while it leads. All methods have to be called on the event loop.
 *
 * <p>It does not read from the platform itself: registered instances, backend servers and the
 * configuration are passed to it. While the platform is unreachable, the last known values stay in
 * effect.
 */
public final class Dispatcher implements Closeable {

    /** Notified of a newer configuration and of the start of leadership. */
    public interface Listener {

        /**
         * A peer has sent a newer configuration than this instance has.
         *
         * @param document the configuration document, not null
         */
        void onNewerConfiguration(byte[] document);

        /**
         * This instance leads and controls backend servers from now on. Also called when its group
         * changes while it leads.
         */
        void onBecameLeader();

        /**
         * This instance leads and has to know all backend servers as the directory lists them now.
         * It is to be read again, on a new connection, see {@link ServerListTracker#onConfirmed}.
         */
        default void onServerListDoubted() {}

        /**
         * Callers may have disconnected without being noticed, as the event loop was busy. Those
         * that have are to be withdrawn before this method returns, see {@link #withdraw}.
         */
        default void onCallersDoubted() {}
    }

    private final Closer mCloser = Closer.create();
    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final Listener mListener;
    private final FencingTokenSource mTokens;
    private final DecisionLog mDecisions;
    private final LeaderElection mElection;
    private final PeerTransport mClient;
    private final RemoteLeaders mRemote;
    private final RemoteJobForwarder mForwarder;
    private final LeaderScheduler mLeaderScheduler;
    private final JobRelay mJobRelay;
    private final StoredJobsMonitor mStoredJobsMonitor;
    private final StoredJobClient mStoredJobClient;
    private final CoordinatorCandidacy mCandidacy;
    private final PoolMembership mPool;
    private final HomeMonitor mHomes;
    private final EvacuationTracker mEvacuations;
    private final StoreContactTracker mStoreContact;
    private final ServerListTracker mServerList;
    private Collection<ServerEntry> mServers = List.of();

    private Dispatcher(
            DispatcherSettings settings,
            DispatcherContext context,
            EventLog log,
            MetricsRecorder metrics,
            Listener listener) {
        mSettings = settings;
        mTokens = FencingTokenSource.of(settings.name().value());
        EventLoop loop = context.loop();
        mLoop = loop;
        mListener = listener;
        mClient = mCloser.register(context.peerTransport());
        mDecisions = new DecisionLog(log, metrics);
        LifeSigns lifeSigns = new LifeSigns(new ClockEvents());
        mEvacuations = new EvacuationTracker(log);
        mStoreContact = new StoreContactTracker(loop, context.store());
        mElection =
                new LeaderElection(
                        settings,
                        loop,
                        mClient,
                        mTokens,
                        log,
                        lifeSigns,
                        mEvacuations,
                        new ElectionEvents());
        SpillOver spillOver = new SpillOver();
        mRemote = new RemoteLeaders(loop, mClient, spillOver, mEvacuations);
        mHomes = newHomeMonitor(lifeSigns);
        JobWithdrawals withdrawals = new JobWithdrawals(settings, loop, mClient);
        mForwarder = newForwarder(settings, mClient, spillOver, withdrawals);
        mLeaderScheduler =
                new LeaderScheduler(
                        settings,
                        context,
                        mTokens,
                        mDecisions,
                        mForwarder,
                        mElection,
                        mHomes,
                        schedulers -> newCoordinator(context, log, schedulers));
        mServerList = new ServerListTracker(mLeaderScheduler, mElection);
        mStoredJobsMonitor = new StoredJobsMonitor(loop, context.store());
        mStoredJobClient =
                new StoredJobClient(loop, mElection, mClient, mLeaderScheduler, mStoredJobsMonitor);
        mCandidacy = newCandidacy();
        mPool = newPoolMembership();
        mJobRelay = newJobRelay(mClient, withdrawals);
    }

    private JobRelay newJobRelay(PeerTransport client, JobWithdrawals withdrawals) {
        return new JobRelay(
                mSettings, mLoop, mElection, client, mLeaderScheduler, withdrawals, mDecisions);
    }

    private RemoteJobForwarder newForwarder(
            DispatcherSettings settings,
            PeerTransport client,
            SpillOver spillOver,
            JobWithdrawals withdrawals) {
        return new RemoteJobForwarder(
                settings,
                mLoop,
                client,
                mRemote,
                spillOver,
                mDecisions,
                withdrawals,
                new ForwardingNotices(
                        settings.home(), mLoop, mElection, client, this::markForwarded));
    }

    /** Starts what calls this object from the event loop; only once it is complete. */
    private void start() {
        mEvacuations.setListener(mLeaderScheduler::updateEvacuations);
        startListening(mClient);
        mStoredJobsMonitor.start(mPool::onGuardRead);
        mLoop.schedule(LeaderElection.TICK_MILLIS, this::tick);
    }

    private StoredJobCoordinator newCoordinator(
            DispatcherContext context, EventLog log, StoredJobCoordinator.Schedulers schedulers) {
        return new StoredJobCoordinator(mLoop, context.store(), log, mSettings, schedulers);
    }

    private HomeMonitor newHomeMonitor(LifeSigns lifeSigns) {
        return new HomeMonitor(
                mSettings.home(),
                mLoop,
                mElection,
                lifeSigns,
                this::handOverJobsOf,
                mListener::onCallersDoubted);
    }

    private CoordinatorCandidacy newCandidacy() {
        return new CoordinatorCandidacy(
                mSettings.name(), mLoop, mElection, mLeaderScheduler, mDecisions);
    }

    private PoolMembership newPoolMembership() {
        return new PoolMembership(
                mSettings.dataCentre(),
                mLoop,
                mElection::reachableInstances,
                mStoredJobClient::mayHaveStoredJobs,
                new PoolEvents());
    }

    private void startListening(PeerTransport transport) {
        PeerRequestHandler handler =
                new PeerRequestHandler(
                        mLoop,
                        mElection,
                        mHomes,
                        mLeaderScheduler,
                        mJobRelay,
                        mStoredJobClient,
                        mPool::isInPool);
        transport.listen(mSettings.peerAddress(), handler::handle);
    }

    /**
     * Starts a dispatcher.
     *
     * @param settings its settings, not null
     * @param context the event loop, transport and store that it uses, not null
     * @param log the log for decisions, not null
     * @param metrics the counters for decisions, not null
     * @param listener notified of a newer configuration and of leadership, not null
     * @return the dispatcher, never null
     */
    public static Dispatcher start(
            DispatcherSettings settings,
            DispatcherContext context,
            EventLog log,
            MetricsRecorder metrics,
            Listener listener) {
        Objects.requireNonNull(listener, "listener");
        Dispatcher dispatcher = new Dispatcher(settings, context, log, metrics, listener);
        dispatcher.start();
        return dispatcher;
    }

    /**
     * Updates the registered instances.
     *
     * @param instances those of all data centres, not null
     */
    public void updateInstances(Collection<InstanceRecord> instances) {
        mPool.updateInstances(instances);
    }

    /**
     * Returns the claim mode for a backend server. Servers outside the pool belong to another
     * leader, also those that this instance held before the fleet was divided.
     */
    private ClaimMode claimMode(ServerEntry server) {
        return mPool.isInPool(server.dataCentre()) ? mElection.claimMode(server) : ClaimMode.NONE;
    }

    /**
     * Records that this instance is registered, and its seniority.
     *
     * @param seniority the store's revision of its registration
     */
    public void onRegistered(long seniority) {
        mElection.onRegistered(seniority);
    }

    /**
     * Updates the backend servers.
     *
     * @param entries those of all data centres, not null
     */
    public void updateServers(Collection<ServerEntry> entries) {
        mDecisions.serversListed(mServers, entries);
        mServers = List.copyOf(entries);
        updateSchedulerServers();
    }

    /**
     * Returns what is to be told of the list of backend servers.
     *
     * @return the same object each time, never null
     */
    public ServerListTracker serverList() {
        return mServerList;
    }

    private void updateSchedulerServers() {
        List<ServerEntry> poolServers = new ArrayList<>();
        for (ServerEntry entry : mServers) {
            if (mPool.isInPool(entry.dataCentre())) {
                poolServers.add(entry);
            }
        }
        mLeaderScheduler.updateServers(poolServers);
    }

    /**
     * Updates the active configuration, which is sent to peers that have an older one.
     *
     * @param version its version
     * @param document its document, not null
     */
    public void updateConfiguration(long version, byte[] document) {
        mElection.updateConfiguration(version, document);
    }

    /**
     * Updates the data centres that the operator evacuates. Peers are told, and older ones ignored.
     *
     * @param evacuations the data centres as they were read from the store, not null
     */
    public void updateEvacuations(Evacuations evacuations) {
        mEvacuations.update(evacuations, "store");
    }

    /**
     * Returns the data centres whose backend servers get no new tasks.
     *
     * @return the data centres, never null
     */
    public Set<DataCentre> evacuatedDataCentres() {
        return mEvacuations.current().dataCentres();
    }

    /**
     * Submits a job, or adds the caller to the open job with the same id.
     *
     * @param spec the job, not null
     * @param callerTimeoutMillis how long its caller waits, in milliseconds
     * @param caller identifies the request, not null
     * @param answer receives the outcome, not null
     */
    public void submit(
            WorkSpec spec, long callerTimeoutMillis, Object caller, Consumer<WorkOutcome> answer) {
        if (mPool.areInstancesHeldBack() && !hasLeader() && !isOpen(spec.id())) {
            mDecisions.jobAnswered(spec, PoolMembership.POOL_UNKNOWN, 0);
            answer.accept(PoolMembership.POOL_UNKNOWN);
            return;
        }
        mJobRelay.submit(spec, callerTimeoutMillis, caller, answer);
    }

    /**
     * Removes a caller that has disconnected; withdraws the job if no other caller waits for it.
     *
     * @param job the job's id, not null
     * @param caller identifies the request, not null
     */
    public void withdraw(JobId job, Object caller) {
        mJobRelay.withdraw(job, caller);
    }

    /**
     * Cancels a job that was submitted to this instance and is not a stored job. One that was
     * submitted to another instance is cancelled by {@link #cancelAnywhere}.
     *
     * @param job the job's id, not null
     * @return true if it was open here
     */
    public boolean cancel(JobId job) {
        return mJobRelay.cancel(job);
    }

    /**
     * Checks whether a job was submitted to this instance and has no outcome yet.
     *
     * @param job the job's id, not null
     * @return true if it is open
     */
    public boolean isOpen(JobId job) {
        return mJobRelay.isOpen(job);
    }

    /**
     * Reports the condition of a stored job.
     *
     * @param job the job's id, not null
     * @param answer receives the condition, not null
     */
    public void storedJobCondition(JobId job, Consumer<JobCondition> answer) {
        mStoredJobClient.condition(job, answer);
    }

    /**
     * Cancels a stored job, or a job that was submitted to another instance.
     *
     * @param job the job's id, not null
     * @param answer receives the condition of the job once it is cancelled, for a stored job once
     *     that is stored; not null
     */
    public void cancelAnywhere(JobId job, Consumer<JobCondition> answer) {
        mStoredJobClient.cancel(job, answer);
    }

    /**
     * Counts the unstarted stored jobs of a queue.
     *
     * @param queue the queue's name, not null
     * @param answer receives the number, none if it cannot be determined now; not null
     */
    public void countPending(String queue, Consumer<Option<Integer>> answer) {
        mStoredJobClient.countPending(queue, answer);
    }

    /**
     * Returns the number of open jobs whose callers wait here, and of those forwarded to other data
     * centres.
     *
     * @return the number
     */
    public int openJobs() {
        return mJobRelay.openJobs() + mForwarder.openJobs();
    }

    /**
     * Checks whether this instance follows a leader, so that jobs can be submitted to it.
     *
     * @return true if there is a leader
     */
    public boolean hasLeader() {
        return mElection.leader().isDefined();
    }

    /**
     * Checks whether this instance leads, and so controls backend servers.
     *
     * @return true if it leads
     */
    public boolean isLeader() {
        return mElection.isLeader();
    }

    /**
     * Returns the state of the dispatcher for the metrics.
     *
     * @return the state, never null
     */
    public DispatchState state() {
        return DispatchState.of(openJobs(), isLeader(), mLeaderScheduler.state());
    }

    /** Steps down because the process is about to stop; other instances continue the jobs. */
    public void drain() {
        mElection.startDraining();
    }

    /**
     * Answers the callers whose jobs have no outcome yet, because the process is about to end.
     * Their jobs count as abandoned, since tasks may have run.
     */
    public void abandonJobs() {
        mJobRelay.abandonAll();
    }

    @Override
    public void close() throws IOException {
        mCloser.close();
    }

    /**
     * Records whether the store is reachable.
     *
     * @param reachable true if it answers
     */
    public void updateStoreReachable(boolean reachable) {
        mStoreContact.update(reachable);
    }

    /** Checks the contact to the store, which matters only while there are stored jobs. */
    private StoreContact checkStoreContact(boolean isLostElsewhere) {
        return mStoredJobClient.hasSignOfStoredJobs()
                ? mStoreContact.check(
                        isLostElsewhere || mLeaderScheduler.coordinator().isUnconfirmed())
                : StoreContact.ASSUMED;
    }

    private void tick() {
        mLoop.schedule(LeaderElection.TICK_MILLIS, this::tick);
        mLeaderScheduler.detectSuspension();
        mElection.updateStoreContact(this::checkStoreContact);
        mElection.updateCoordinatesStoredJobs(mLeaderScheduler.coordinator().hasJobs());
        mPool.tick();
        mElection.tick(mForwarder.openJobs() > 0);
        mHomes.tick();
        if (!mElection.awaitsPeersAfterSuspension()) {
            mLeaderScheduler.handOverJobsOfLostHomes();
            mForwarder.withdrawJobsOfLostHomes(mHomes::isWaitingForForwardedJob);
        }
        mCandidacy.tick(mPool.spansDataCentres(), mStoredJobClient.mayHaveStoredJobs());
        boolean mayPlace = mElection.isLeader() && !mElection.hasUnconfirmedPeers();
        boolean forwards = mayPlace || mForwarder.openJobs() > 0;
        if (forwards && !mElection.awaitsPeersAfterSuspension()) {
            // A remote leader withdraws the jobs of an instance that no longer probes it.
            mRemote.tick(mElection.presence());
        }
        if (mayPlace) {
            confirmServerList();
            mLeaderScheduler.tick();
        }
        mJobRelay.tick();
    }

    private void confirmServerList() {
        if (mLeaderScheduler.placement().takeConfirmationDue(mLoop.nowNanos())) {
            mListener.onServerListDoubted();
        }
    }

    /** Hands over and withdraws the jobs that a process may have given up. */
    private void handOverJobsOf(HomeProcess home, boolean isRemote) {
        mLeaderScheduler.handOverJobsOf(home, !isRemote);
        mForwarder.withdrawJobsOfLostHomes(other -> !(isRemote && other.equals(home)));
    }

    private Option<InstanceName> markForwarded(JobId job) {
        return mJobRelay.markForwarded(job);
    }

    /** Reacts to what the clocks of other processes show. */
    private final class ClockEvents implements LifeSigns.Listener {

        @Override
        public void onInterrupted(HomeProcess process) {
            handOverJobsOf(process, true);
        }

        @Override
        public void onSuspensionShown() {
            mLeaderScheduler.onSuspensionShown();
        }
    }

    /** Applies the instances of the pool to the other parts of the dispatcher. */
    private final class PoolEvents implements PoolMembership.Listener {

        @Override
        public void onPoolChanged(
                boolean spansDataCentres, int instances, boolean storedJobsPossible) {
            mDecisions.poolChanged(spansDataCentres, instances, storedJobsPossible);
            mLeaderScheduler.onPoolChanged();
        }

        @Override
        public void onInstancesChanged(List<InstanceRecord> pool, List<InstanceRecord> others) {
            DataCentreScope scope = mPool.scope();
            mElection.updateInstances(pool, mPool::isInPool, scope, mPool.isLargeFleet());
            mLeaderScheduler.updateScope(scope);
            mRemote.updateInstances(others);
            updateSchedulerServers();
            if (mElection.isLeader()) {
                mLeaderScheduler.updateClaims(Dispatcher.this::claimMode, true);
            }
        }
    }

    /** Applies the results of the leader election to the other parts of the dispatcher. */
    private final class ElectionEvents implements LeaderElection.Listener {

        @Override
        public void onLeadershipChanged() {
            boolean isLeader = mElection.isLeader();
            mLeaderScheduler.updateClaims(
                    server -> isLeader ? claimMode(server) : ClaimMode.NONE, isLeader);
            mJobRelay.reassignJobs();
            if (isLeader) {
                mListener.onBecameLeader();
            }
        }

        @Override
        public void onPartitionHealed() {
            mLeaderScheduler.onPartitionHealed();
            mRemote.doubtLeaders();
        }

        @Override
        public void onPeerFollowsOutsidePool() {
            mLeaderScheduler.onPoolChanged();
        }

        @Override
        public void onNewerConfiguration(byte[] document) {
            mListener.onNewerConfiguration(document);
        }

        @Override
        public void onSupported(InstanceName peer, long askedNanos) {
            mLeaderScheduler.coordinator().onSupported(peer, askedNanos);
        }

        @Override
        public void onServerListDoubted() {
            mListener.onServerListDoubted();
        }
    }
}
