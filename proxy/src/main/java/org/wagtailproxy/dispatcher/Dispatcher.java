package org.wagtailproxy.dispatcher;

import com.google.common.io.Closer;
import io.vavr.control.Option;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.leadership.Pool;
import org.wagtailproxy.observe.DispatchState;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.MetricsRecorder;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.peer.PeerServer;
import org.wagtailproxy.scheduling.ClaimMode;
import org.wagtailproxy.scheduling.FencingTokenSource;
import org.wagtailproxy.scheduling.SchedulerState;
import org.wagtailproxy.scheduling.SpillOver;
import org.wagtailproxy.serve.EventLoop;
import org.wagtailproxy.wire.Envelope;
import org.wagtailproxy.wire.KeeperRecord;
import org.wagtailproxy.wire.WorkForwarded;
import org.wagtailproxy.workload.JobCondition;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.WorkOutcome;
import org.wagtailproxy.workload.WorkSpec;

/**
 * The dispatcher of one instance. All methods are to be called on the event loop.
 *
 * <p>What it knows of the platform is told to it: registered instances, backend servers, the
 * configuration. Whoever tells it keeps the last knowledge while the platform is away.
 */
public final class Dispatcher implements Closeable {

    /** Hears what peers tell. */
    public interface Listener {

        /**
         * A neighbour holds a newer configuration than this instance.
         *
         * @param document its document, not null
         */
        void newerConfiguration(byte[] document);

        /** This instance gives orders to backend servers from now on. */
        void becameLeader();
    }

    /** How long a notice may stay unanswered; its answer says nothing. */
    private static final Duration TELL_TIMEOUT = Duration.ofMillis(200);

    /** Silence of the store after which another instance had better keep the stored jobs. */
    private static final long STORELESS_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final Closer mCloser = Closer.create();
    private final DispatcherSettings mSettings;
    private final EventLoop mLoop;
    private final Listener mListener;
    private final FencingTokenSource mTokens;
    private final LeaderElection mElection;
    private final PeerClient mClient;
    private final RemoteLeaders mRemote;
    private final RemoteForwarder mForwards;
    private final LeaderScheduler mLeaderScheduler;
    private final JobRelay mJobRelay;
    private final StoredJobClient mStoredJobClient;
    private final Pool mPool = new Pool();
    private Collection<ServerEntry> mServers = List.of();
    private boolean mStoreReached;
    private long mStoreChangedNanos;

    private Dispatcher(
            DispatcherSettings settings,
            DispatcherLinks links,
            EventLog log,
            MetricsRecorder metrics,
            Listener listener) {
        mSettings = settings;
        mTokens = FencingTokenSource.of(settings.name().value());
        EventLoop loop = links.loop();
        mLoop = loop;
        mListener = listener;
        String host = settings.peerAddress().host();
        PeerClient client = mCloser.register(PeerClient.of(host, links.group(), links.bytes()));
        DecisionLog decisions = new DecisionLog(log, metrics);
        mElection = new LeaderElection(settings, loop, client, mTokens, log, new MeshChanges());
        SpillOver spillOver = new SpillOver();
        mRemote = new RemoteLeaders(loop, client, spillOver);
        mForwards =
                new RemoteForwarder(
                        settings, loop, client, mRemote, spillOver, decisions, this::tellHomes);
        mLeaderScheduler =
                new LeaderScheduler(
                        settings,
                        loop,
                        links.orders(),
                        mTokens,
                        decisions,
                        mForwards,
                        mElection,
                        schedulers ->
                                new StoredJobCoordinator(
                                        loop,
                                        links.store(),
                                        log,
                                        keeperRecord(settings),
                                        schedulers));
        mClient = client;
        mStoredJobClient = new StoredJobClient(loop, mElection, client, mLeaderScheduler.keeper());
        mJobRelay = new JobRelay(settings, loop, mElection, client, mLeaderScheduler, decisions);
        PeerCalls calls =
                new PeerCalls(
                        loop,
                        mElection,
                        mRemote,
                        mLeaderScheduler,
                        mStoredJobClient,
                        this::isPooled);
        mCloser.register(
                PeerServer.start(
                        settings.peerAddress(), links.group(), calls::handle, links.bytes()));
    }

    /**
     * Starts a dispatcher.
     *
     * @param settings its settings, not null
     * @param links what it runs on and reaches others by, not null
     * @param log where decisions are written, not null
     * @param metrics where decisions are counted, not null
     * @param listener who hears what peers tell, not null
     * @return the dispatcher, never null
     */
    public static Dispatcher start(
            DispatcherSettings settings,
            DispatcherLinks links,
            EventLog log,
            MetricsRecorder metrics,
            Listener listener) {
        Objects.requireNonNull(listener, "listener");
        Dispatcher dispatcher = new Dispatcher(settings, links, log, metrics, listener);
        links.loop().later(LeaderElection.ROUND_MILLIS, dispatcher::round);
        return dispatcher;
    }

    /**
     * Takes over the registered instances.
     *
     * @param instances those of all data centres, not null
     */
    public void updateInstances(Collection<InstanceRecord> instances) {
        mPool.update(instances.size());
        List<InstanceRecord> pool = new ArrayList<>();
        List<InstanceRecord> others = new ArrayList<>();
        for (InstanceRecord record : instances) {
            (isPooled(record.dataCentre()) ? pool : others).add(record);
        }
        mElection.list(pool, this::isPooled, !mPool.spansDataCentres());
        mRemote.list(others);
        listServers();
        if (mElection.leads()) {
            mLeaderScheduler.claim(mElection::claim, true);
        }
    }

    /**
     * Takes over when this instance was registered.
     *
     * @param seniority the store's revision of its registration
     */
    public void onRegistered(long seniority) {
        mElection.registered(seniority);
    }

    /**
     * Takes over the backend servers.
     *
     * @param entries those of all data centres, not null
     */
    public void updateServers(Collection<ServerEntry> entries) {
        mServers = List.copyOf(entries);
        listServers();
    }

    private boolean isPooled(DataCentre dataCentre) {
        return mPool.isSamePool(mSettings.dataCentre(), dataCentre);
    }

    private void listServers() {
        List<ServerEntry> own = new ArrayList<>();
        for (ServerEntry entry : mServers) {
            if (isPooled(entry.dataCentre())) {
                own.add(entry);
            }
        }
        mLeaderScheduler.list(own);
    }

    /**
     * Takes over the configuration that is in force, to pass it on to neighbours.
     *
     * @param version its version
     * @param document its document, not null
     */
    public void updateConfiguration(long version, byte[] document) {
        mElection.configuration(version, document);
    }

    /**
     * Takes a job in, or joins the one of the same id.
     *
     * @param spec the job, not null
     * @param patienceMillis how long its caller waits, in milliseconds
     * @param caller identifies the request, not null
     * @param answer takes the outcome, not null
     */
    public void submit(
            WorkSpec spec, long patienceMillis, Object caller, Consumer<WorkOutcome> answer) {
        mJobRelay.submit(spec, patienceMillis, caller, answer);
    }

    /**
     * Gives up a job after its caller has left.
     *
     * @param job which, not null
     * @param caller identifies the request, not null
     */
    public void withdraw(JobId job, Object caller) {
        mJobRelay.withdraw(job, caller);
    }

    /**
     * Cancels a job that was taken in here.
     *
     * @param job which, not null
     * @return true if it was known
     */
    public boolean cancel(JobId job) {
        return mJobRelay.cancel(job);
    }

    /**
     * Tests whether a job was taken in here and has no outcome.
     *
     * @param job which, not null
     * @return true if it is open
     */
    public boolean isOpen(JobId job) {
        return mJobRelay.knows(job);
    }

    /**
     * Tells where a stored job stands.
     *
     * @param job which, not null
     * @param answer takes the answer, not null
     */
    public void storedJobCondition(JobId job, Consumer<JobCondition> answer) {
        mStoredJobClient.condition(job, answer);
    }

    /**
     * Cancels a stored job.
     *
     * @param job which, not null
     * @param answer takes where it stands once that is stored, not null
     */
    public void cancelStored(JobId job, Consumer<JobCondition> answer) {
        mStoredJobClient.cancel(job, answer);
    }

    /**
     * Counts the stored jobs of a queue that have not begun.
     *
     * @param queue the queue's name, not null
     * @param answer takes the number, none if nobody can tell it now; not null
     */
    public void countPending(String queue, Consumer<Option<Integer>> answer) {
        mStoredJobClient.pending(queue, answer);
    }

    private static KeeperRecord keeperRecord(DispatcherSettings settings) {
        return KeeperRecord.newBuilder()
                .setName(settings.name().value())
                .setIncarnation(UUID.randomUUID().toString())
                .build();
    }

    /**
     * Counts the jobs whose callers wait here.
     *
     * @return the number
     */
    public int openJobs() {
        return mJobRelay.openJobs() + mForwards.open();
    }

    /**
     * Tests whether jobs can be passed on.
     *
     * @return true if there is a leader
     */
    public boolean hasLeader() {
        return mElection.leader().isDefined();
    }

    /**
     * Tests whether this instance gives orders to backend servers.
     *
     * @return true if it leads
     */
    public boolean leads() {
        return mElection.leads();
    }

    /**
     * Tells what the dispatcher holds.
     *
     * @return the state, never null
     */
    public DispatchState state() {
        int held = 0;
        long free = 0;
        long used = 0;
        Map<Integer, Integer> waiting = new TreeMap<>();
        for (SchedulerState scheduler : mLeaderScheduler.state()) {
            held += scheduler.heldServers();
            free += scheduler.freeCpuMillis();
            used += scheduler.usedCpuMillis();
            scheduler
                    .waitingByPriority()
                    .forEach((priority, jobs) -> waiting.merge(priority, jobs, Integer::sum));
        }
        return new DispatchState(openJobs(), leads(), held, free, used, waiting);
    }

    /** Gives up leadership because the process is about to stop; jobs go on elsewhere. */
    public void drain() {
        mElection.drain();
    }

    @Override
    public void close() throws IOException {
        mCloser.close();
    }

    /**
     * Takes over whether the store answers.
     *
     * @param reached true if it does
     */
    public void updateStoreReachable(boolean reached) {
        if (reached || mStoreReached) {
            mStoreChangedNanos = mLoop.nowNanos();
        }
        mStoreReached = reached;
    }

    private boolean isStoreless() {
        boolean lasting = mLoop.nowNanos() - mStoreChangedNanos > STORELESS_NANOS;
        return mStoredJobClient.jobsKept() && !mStoreReached && lasting;
    }

    private void round() {
        mLoop.later(LeaderElection.ROUND_MILLIS, this::round);
        mLeaderScheduler.noticeSuspension();
        mElection.storeless(isStoreless());
        mElection.tick();
        mLeaderScheduler.withdrawLost(this::isAlive);
        mForwards.withdrawLost(this::isAlive);
        mLeaderScheduler.keep(
                mPool.spansDataCentres() && mElection.leadsMajority(), mStoredJobClient.jobsKept());
        if (mElection.leads() && !mElection.awaitsAnswers()) {
            mRemote.tick(mElection.presence());
            mLeaderScheduler.tick();
        }
        mJobRelay.tick();
    }

    /**
     * A home that follows another leader has passed its jobs on, whether it could say so or not.
     */
    private boolean isAlive(InstanceName home) {
        boolean near = mElection.reaches(home) && !mElection.followsAnother(home);
        return home.equals(mSettings.name()) || near || mRemote.hears(home);
    }

    /** Tells the instances that answer a job's callers that it runs in another data centre. */
    private void tellHomes(JobId job, Collection<InstanceName> homes) {
        for (InstanceName home : homes) {
            if (home.equals(mSettings.name())) {
                mJobRelay.forwarded(job);
                continue;
            }
            WorkForwarded.Builder message = WorkForwarded.newBuilder().setJob(job.value());
            mElection
                    .address(home)
                    .forEach(
                            address ->
                                    mClient.call(
                                            address,
                                            Envelope.newBuilder().setWorkForwarded(message),
                                            TELL_TIMEOUT));
        }
    }

    /** Reacts to changes of leadership. */
    private final class MeshChanges implements LeaderElection.Listener {

        @Override
        public void leadershipChanged() {
            boolean leads = mElection.leads();
            mLeaderScheduler.claim(entry -> leads ? mElection.claim(entry) : ClaimMode.NONE, leads);
            mJobRelay.reassign();
            if (leads) {
                mListener.becameLeader();
            }
        }

        @Override
        public void healed() {
            mLeaderScheduler.healed();
        }

        @Override
        public void configuration(byte[] document) {
            mListener.newerConfiguration(document);
        }
    }
}
