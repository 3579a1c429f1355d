package org.wagtailproxy.serve;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import java.io.Closeable;
import java.io.IOException;
import java.net.http.HttpClient;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.wagtailproxy.backend.BackendClient;
import org.wagtailproxy.caller.JobRoutes;
import org.wagtailproxy.engine.DispatchEngine;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.home.AuthorityHandover;
import org.wagtailproxy.home.EndLookup;
import org.wagtailproxy.home.EndPublisher;
import org.wagtailproxy.home.EndRecords;
import org.wagtailproxy.home.EndReplicator;
import org.wagtailproxy.home.JobRouter;
import org.wagtailproxy.home.JobService;
import org.wagtailproxy.home.NameClaims;
import org.wagtailproxy.home.OwnedIncarnations;
import org.wagtailproxy.home.ReplicaRepair;
import org.wagtailproxy.home.SealStore;
import org.wagtailproxy.http.HttpListener;
import org.wagtailproxy.http.HttpRoute;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.lifecycle.Lifecycle;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.MemberTable;
import org.wagtailproxy.membership.Seal;
import org.wagtailproxy.membership.SealKind;
import org.wagtailproxy.observe.BurnRegistry;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.observe.Metrics;
import org.wagtailproxy.operator.ResourceRoutes;
import org.wagtailproxy.operator.ResourceWriter;
import org.wagtailproxy.operator.StatusRoutes;
import org.wagtailproxy.peer.DemandTracker;
import org.wagtailproxy.peer.Heartbeats;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.peer.PeerClient;
import org.wagtailproxy.peer.PeerServer;
import org.wagtailproxy.peer.ViewExchange;
import org.wagtailproxy.platform.HttpKeyValueStore;
import org.wagtailproxy.platform.InstanceListReader;
import org.wagtailproxy.platform.KeyValueStore;
import org.wagtailproxy.platform.PlatformHttpClient;
import org.wagtailproxy.platform.PlatformPoller;
import org.wagtailproxy.session.RateLimiter;
import org.wagtailproxy.settings.Settings;
import org.wagtailproxy.settings.Settings.InstanceSettings;
import org.wagtailproxy.view.SharedView;

/**
 * Assembles and runs one entry instance: creates its components, schedules their recurring work,
 * and starts and stops them.
 */
public final class Instance implements Closeable {

    private static final int NETWORK_THREADS = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIME_BEFORE_STOP = Duration.ofMillis(500);
    private static final Duration MAX_IDLE_WAIT = Duration.ofSeconds(5);
    private static final Duration SEALED_EXIT_DELAY = Duration.ofSeconds(3);
    private static final long AWAIT_INTERVAL_MILLISECONDS = 20;
    private static final long SEAL_CHECK_INTERVAL_MILLISECONDS = 100;

    private final Closer mCloser = Closer.create();
    private final Settings mSettings;
    private final Lifecycle mLifecycle = Lifecycle.of();
    private final Metrics mMetrics = Metrics.of();
    private final BurnRegistry mBurn = BurnRegistry.of();
    private final EndRecords mRecords = EndRecords.of();
    private final InstanceExecutors mExecutors;
    private final EventLog mLog;
    private final Members mMembers;
    private final PeerClient mPeerClient;
    private final SharedView mView;
    private final KeyValueStore mStore;
    private final DemandTracker mDemandTracker;
    private final EndLookup mEndLookup;
    private final JobRouter mRouter;
    private final ViewExchange mExchange;
    private final PlatformPoller mPoller;
    private final SealStore mSealStore;
    private final OwnedIncarnations mOwnedIncarnations;
    private final DispatchEngine mEngine;
    private final EndPublisher mPublisher;
    private final JobService mJobs;
    private final AuthorityHandover mHandover;
    private final ReplicaRepair mRepair;
    private final Heartbeats mHeartbeats;
    private final HttpListener mHttpListener;

    private Instance(Settings settings) throws IOException {
        mSettings = settings;
        long nowNanos = System.nanoTime();
        Incarnation incarnation = Incarnation.random(new SecureRandom());
        mLog = EventLog.of(settings.instance(), incarnation);
        mExecutors = mCloser.register(new InstanceExecutors());
        Member self = createMember(settings.instance(), incarnation);
        mMembers = Members.of(self, MemberTable.of(self, settings.peers().timing(), nowNanos));
        EventLoopGroup network =
                new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());
        mCloser.register(() -> network.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        HostAddress peerListen = settings.instance().peerListenAddress();
        mPeerClient = mCloser.register(PeerClient.of(peerListen.host(), network, mMetrics));
        mView = SharedView.of(mLog);
        mExchange = ViewExchange.of(mMembers, mPeerClient, mView, mLog);
        mStore = HttpKeyValueStore.of(createPlatformClient(settings.platform().storeAddress()));
        InstanceListReader list =
                InstanceListReader.of(createPlatformClient(settings.platform().listAddress()));
        mPoller = PlatformPoller.of(mStore, list, mView, mMembers, mExchange, mLog);
        mSealStore = SealStore.of(mStore, mMembers, mExchange, mLog);
        mOwnedIncarnations = OwnedIncarnations.of(incarnation, settings.sessions(), nowNanos);
        mDemandTracker = DemandTracker.of(mMembers);
        mEngine = createEngine();
        mPublisher = createPublisher();
        long outcomeBytes = settings.limits().outcomeBytes();
        mJobs =
                JobService.of(
                        mOwnedIncarnations,
                        mView,
                        mEngine,
                        mPublisher,
                        outcomeBytes,
                        mMetrics,
                        mLog);
        mEndLookup = EndLookup.of(mMembers, mPeerClient, mRecords, mJobs);
        mRouter = createRouter(nowNanos);
        mHandover = createHandover();
        mRepair = ReplicaRepair.of(mMembers, mPeerClient, mOwnedIncarnations, mJobs, mRecords);
        mHeartbeats = createHeartbeats();
        mEngine.start(mJobs);
        mCloser.register(PeerServer.start(peerListen, network, createPeerRequests(), mMetrics));
        mHttpListener = mCloser.register(startHttpListener());
    }

    /**
     * Starts an instance.
     *
     * @param settings the settings of the instance, not null
     * @return the instance, never null
     * @throws IOException if the instance cannot listen on one of its addresses
     */
    public static Instance start(Settings settings) throws IOException {
        Instance instance = new Instance(Objects.requireNonNull(settings, "settings"));
        instance.scheduleWork();
        instance.mLog
                .event(EventName.INSTANCE_STARTED)
                .with(EventField.ADDRESS, settings.instance().callerAddress())
                .info();
        return instance;
    }

    /**
     * Performs a planned stop: refuses new jobs, waits for the open jobs, hands authority over to
     * another instance, and waits until all open calls are answered. Jobs that are still open after
     * the drain timeout fail. Blocks.
     */
    public void stop() {
        mLog.event(EventName.INSTANCE_DRAINING).with(EventField.COUNT, mJobs.openJobs()).info();
        mLifecycle.markDraining();
        mMembers.markLeaving();
        mHeartbeats.scheduleNeighboursNow();
        mJobs.drain();
        if (!await(() -> mJobs.openJobs() == 0, mSettings.limits().drainTimeout())) {
            mJobs.failOpenJobs(Failure.of(FailureKind.DRAINING, "the instance had to stop"));
            await(() -> mJobs.openJobs() == 0, mSettings.limits().drainTimeout());
        }
        mHandover.handOver();
        mHttpListener.closeConnectionsAfterAnswer();
        await(() -> mHttpListener.openCalls() == 0, mSettings.limits().drainTimeout());
        await(
                () ->
                        mHttpListener.openCalls() == 0
                                && mHttpListener.idleNanos() > IDLE_TIME_BEFORE_STOP.toNanos(),
                MAX_IDLE_WAIT);
        mLog.event(EventName.INSTANCE_STOPPED).info();
    }

    /**
     * Waits until the instance was sealed as lost, which ends its authority for good, then fails
     * its open jobs.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitSealed() throws InterruptedException {
        Incarnation self = mMembers.self().incarnation();
        while (true) {
            Option<Seal> seal = mMembers.with(table -> table.sealOf(self));
            if (seal.exists(each -> each.kind() == SealKind.LOST)) {
                break;
            }
            Thread.sleep(SEAL_CHECK_INTERVAL_MILLISECONDS);
        }
        mLog.event(EventName.INSTANCE_SEALED).warn();
        mLifecycle.markSealed();
        mJobs.drain();
        mJobs.failOpenJobs(Failure.of(FailureKind.HOME_LOST, "the instance was sealed"));
        Thread.sleep(SEALED_EXIT_DELAY.toMillis());
    }

    @Override
    public void close() throws IOException {
        mCloser.close();
    }

    private static Member createMember(InstanceSettings settings, Incarnation incarnation) {
        return Member.of(
                incarnation,
                settings.dataCentre(),
                settings.peerAddress(),
                settings.callerAddress());
    }

    private DispatchEngine createEngine() {
        return DispatchEngine.of(
                mMembers.self().dataCentre(),
                mView,
                mDemandTracker,
                BackendClient.of(createHttpClient()),
                mExecutors.mWorkers,
                mMetrics,
                mLog);
    }

    private EndPublisher createPublisher() {
        EndReplicator replicator =
                EndReplicator.of(mMembers, mPeerClient, mMetrics, mSettings.peers().replicas());
        return EndPublisher.of(replicator, mMembers, mView, mBurn, mMetrics, mLog);
    }

    private JobRouter createRouter(long nowNanos) {
        RateLimiter budget = RateLimiter.of(mSettings.limits().claimsPerSecond(), nowNanos);
        NameClaims claims = NameClaims.of(mStore, mSealStore, mOwnedIncarnations, budget);
        return new JobRouter.Builder()
                .local(mOwnedIncarnations, mJobs)
                .remote(mMembers, mPeerClient, mEndLookup)
                .store(mSealStore, claims, mExecutors.mBlocking)
                .build();
    }

    private AuthorityHandover createHandover() {
        return new AuthorityHandover.Builder()
                .local(mOwnedIncarnations, mJobs, mRecords)
                .remote(mMembers, mPeerClient, mExchange)
                .build(mSealStore, mLog);
    }

    private Heartbeats createHeartbeats() {
        return new Heartbeats.Builder()
                .peers(mSettings.peers(), mMembers, mPeerClient)
                .views(mView, mExchange)
                .demands(mEngine, mDemandTracker)
                .build(mLog);
    }

    private PeerRequests createPeerRequests() {
        return new PeerRequests(
                mMembers,
                mRouter,
                mRecords,
                mEndLookup,
                mHandover,
                mHeartbeats,
                mExchange,
                mExecutors);
    }

    private HttpListener startHttpListener() throws IOException {
        ResourceWriter writer = ResourceWriter.of(mStore, mPoller);
        JobRoutes jobs = JobRoutes.of(mRouter, mJobs, mOwnedIncarnations, mLifecycle);
        ResourceRoutes resources = ResourceRoutes.of(mView, writer, mExecutors.mBlocking);
        StatusRoutes status = StatusRoutes.of(mLifecycle, mMembers, mView, mBurn, mMetrics);
        Map<String, HttpRoute> routes = new HashMap<>();
        routes.put("v1/session", jobs::session);
        routes.put("v1/jobs", jobs::jobs);
        routes.put("v1/requests", jobs::requests);
        routes.put("v1/resources", resources::serve);
        routes.put("v1/instances", status::instances);
        routes.put("v1/burn", status::burn);
        routes.put("health/live", status::live);
        routes.put("health/ready", status::ready);
        routes.put("metrics", status::metrics);
        return HttpListener.start(
                mSettings.instance().callerListenAddress(),
                routes,
                mSettings.limits().callers(),
                mExecutors.mHttp,
                mLog);
    }

    private void scheduleWork() {
        scheduleRepeating(Duration.ofMillis(20), mEngine::tick);
        scheduleRepeating(Duration.ofMillis(50), mHeartbeats::tick);
        scheduleRepeating(Duration.ofMillis(100), mEngine::updateShares);
        scheduleRepeating(Duration.ofMillis(250), mPublisher::retryWithheld);
        scheduleRepeating(Duration.ofMillis(100), this::updateReadiness);
        scheduleRepeating(Duration.ofSeconds(1), this::removeExpired);
        startLoop("platform-poller", this::pollInterval, mPoller::poll);
        startLoop("replica-repair", () -> mSettings.peers().heartbeatInterval(), mRepair::tick);
        startLoop("seal-keeper", () -> mSettings.platform().pollInterval(), this::writeSeals);
    }

    private void writeSeals() {
        mSealStore.tick();
        mHandover.retryUnwrittenSeals();
    }

    private void removeExpired() {
        mJobs.removeForgottenJobs();
        Duration retention =
                mSettings
                        .sessions()
                        .window()
                        .multipliedBy(mSettings.sessions().retainedWindows() + 1L);
        long before = System.nanoTime() - retention.toNanos();
        mRecords.removeBefore(before);
        mMembers.with(table -> table.forgetSealedBefore(before));
    }

    private void updateReadiness() {
        if (mLifecycle.hasBeenReady() && mRecords.isOpen()) {
            return;
        }
        boolean neighboursAnsweredOrRefused =
                mMembers.with(table -> table.allNeighboursAnsweredOrRefused(System.nanoTime()));
        boolean viewsExchanged = neighboursAnsweredOrRefused && !mExchange.isPulling();
        if (viewsExchanged && mView.instanceList().version() > 0) {
            mRecords.open();
        }
        if (mPoller.hasReadStore() || (mView.completeVersion() > 0 && viewsExchanged)) {
            mLifecycle.markReady();
        } else {
            mLifecycle.setWaitingFor("configuration from the store or from all neighbours");
        }
    }

    private Duration pollInterval() {
        int neighbours =
                mMembers.with(
                        table ->
                                table.liveMembersIn(mMembers.self().dataCentre(), System.nanoTime())
                                        .size());
        return mSettings.platform().pollInterval().multipliedBy(1L + neighbours);
    }

    private PlatformHttpClient createPlatformClient(HostAddress address) {
        return PlatformHttpClient.of(
                createHttpClient(), address, mSettings.platform().callTimeout(), mMetrics);
    }

    private HttpClient createHttpClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(mExecutors.mWorkers)
                .build();
    }

    private void scheduleRepeating(Duration interval, Runnable work) {
        mExecutors.mTimers.scheduleWithFixedDelay(
                () -> runAndLogFailure(work), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void startLoop(String name, Supplier<Duration> interval, Runnable work) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!Thread.currentThread().isInterrupted()) {
                                runAndLogFailure(work);
                                pause(interval.get().toMillis());
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        mCloser.register(thread::interrupt);
    }

    private void runAndLogFailure(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException defect) {
            mLog.event(EventName.DEFECT).error(defect);
        }
    }

    private static boolean await(BooleanSupplier condition, Duration timeout) {
        long endNanos = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos >= 0 || !pause(AWAIT_INTERVAL_MILLISECONDS)) {
                return false;
            }
        }
        return true;
    }

    private static boolean pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
