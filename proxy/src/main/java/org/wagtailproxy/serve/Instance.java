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
import org.wagtailproxy.http.HttpFront;
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
import org.wagtailproxy.platform.PlatformHttp;
import org.wagtailproxy.platform.PlatformPoller;
import org.wagtailproxy.session.RateLimiter;
import org.wagtailproxy.settings.Settings;
import org.wagtailproxy.settings.Settings.InstanceSettings;
import org.wagtailproxy.view.SharedView;

/** One entry instance: its parts, its recurring work, its start and its stop. */
public final class Instance implements Closeable {

    private static final int NETWORK_THREADS = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration QUIET_BEFORE_STOP = Duration.ofMillis(500);
    private static final Duration LONGEST_QUIET_WAIT = Duration.ofSeconds(5);
    private static final Duration SEALED_GRACE = Duration.ofSeconds(3);
    private static final long PAUSE_MILLISECONDS = 20;
    private static final long SEALED_PAUSE_MILLISECONDS = 100;

    private final Closer mCloser = Closer.create();
    private final Settings mSettings;
    private final Lifecycle mLifecycle = Lifecycle.of();
    private final Metrics mMetrics = Metrics.of();
    private final BurnRegistry mBurn = BurnRegistry.of();
    private final EndRecords mRecords = EndRecords.of();
    private final Executors mExecutors;
    private final EventLog mLog;
    private final Members mMembers;
    private final PeerClient mPeerClient;
    private final SharedView mView;
    private final KeyValueStore mStore;
    private final DemandTracker mBoard;
    private final EndLookup mFinder;
    private final JobRouter mRouter;
    private final ViewExchange mExchange;
    private final PlatformPoller mPoller;
    private final SealStore mSeals;
    private final OwnedIncarnations mHeld;
    private final DispatchEngine mEngine;
    private final EndPublisher mPublisher;
    private final JobService mJobs;
    private final AuthorityHandover mHandOvers;
    private final ReplicaRepair mRepair;
    private final Heartbeats mHeartbeats;
    private final HttpFront mFront;

    private Instance(Settings settings) throws IOException {
        mSettings = settings;
        long nowNanos = System.nanoTime();
        Incarnation incarnation = Incarnation.random(new SecureRandom());
        mLog = EventLog.of(settings.instance(), incarnation);
        mExecutors = mCloser.register(new Executors());
        Member self = self(settings.instance(), incarnation);
        mMembers = Members.of(self, MemberTable.of(self, settings.peers().timing(), nowNanos));
        EventLoopGroup network =
                new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());
        mCloser.register(() -> network.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        HostAddress peerListen = settings.instance().peerListenAddress();
        mPeerClient = mCloser.register(PeerClient.of(peerListen.host(), network, mMetrics));
        mView = SharedView.of(mLog);
        mExchange = ViewExchange.of(mMembers, mPeerClient, mView, mLog);
        mStore = HttpKeyValueStore.of(platform(settings.platform().storeAddress()));
        InstanceListReader list =
                InstanceListReader.of(platform(settings.platform().listAddress()));
        mPoller = PlatformPoller.of(mStore, list, mView, mMembers, mExchange, mLog);
        mSeals = SealStore.of(mStore, mMembers, mExchange, mLog);
        mHeld = OwnedIncarnations.of(incarnation, settings.sessions(), nowNanos);
        mBoard = DemandTracker.of(mMembers);
        mEngine = engine();
        mPublisher = publisher();
        long outcomeBytes = settings.limits().outcomeBytes();
        mJobs = JobService.of(mHeld, mView, mEngine, mPublisher, outcomeBytes, mMetrics, mLog);
        mFinder = EndLookup.of(mMembers, mPeerClient, mRecords, mJobs);
        mRouter = router(nowNanos);
        mHandOvers = handOvers();
        mRepair = ReplicaRepair.of(mMembers, mPeerClient, mHeld, mJobs, mRecords);
        mHeartbeats = heartbeats();
        mEngine.serve(mJobs);
        mCloser.register(PeerServer.start(peerListen, network, requests(), mMetrics));
        mFront = mCloser.register(front());
    }

    /**
     * Starts an instance.
     *
     * @param settings its settings, not null
     * @return the instance, never null
     * @throws IOException if an address cannot be listened on
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

    /** Stops as planned: cuts nothing off and hands everything over. Blocks. */
    public void stop() {
        mLog.event(EventName.INSTANCE_DRAINING).with(EventField.COUNT, mJobs.openJobs()).info();
        mLifecycle.drain();
        mMembers.markLeaving();
        mHeartbeats.scheduleNeighboursNow();
        mJobs.drain();
        if (!await(() -> mJobs.openJobs() == 0, mSettings.limits().drainTimeout())) {
            mJobs.failOpenJobs(Failure.of(FailureKind.DRAINING, "the instance had to stop"));
            await(() -> mJobs.openJobs() == 0, mSettings.limits().drainTimeout());
        }
        mHandOvers.handOver();
        mFront.sayGoodbye();
        await(() -> mFront.openCalls() == 0, mSettings.limits().drainTimeout());
        await(
                () -> mFront.openCalls() == 0 && mFront.quietNanos() > QUIET_BEFORE_STOP.toNanos(),
                LONGEST_QUIET_WAIT);
        mLog.event(EventName.INSTANCE_STOPPED).info();
    }

    /**
     * Waits until the instance has lost its authority for good.
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
            Thread.sleep(SEALED_PAUSE_MILLISECONDS);
        }
        mLog.event(EventName.INSTANCE_SEALED).warn();
        mLifecycle.sealed();
        mJobs.drain();
        mJobs.failOpenJobs(Failure.of(FailureKind.HOME_LOST, "the instance was sealed"));
        Thread.sleep(SEALED_GRACE.toMillis());
    }

    @Override
    public void close() throws IOException {
        mCloser.close();
    }

    private static Member self(InstanceSettings settings, Incarnation incarnation) {
        return Member.of(
                incarnation,
                settings.dataCentre(),
                settings.peerAddress(),
                settings.callerAddress());
    }

    private DispatchEngine engine() {
        return DispatchEngine.of(
                mMembers.self().dataCentre(),
                mView,
                mBoard,
                BackendClient.of(httpClient()),
                mExecutors.mWorkers,
                mMetrics,
                mLog);
    }

    private EndPublisher publisher() {
        EndReplicator replicator =
                EndReplicator.of(mMembers, mPeerClient, mMetrics, mSettings.peers().replicas());
        return EndPublisher.of(replicator, mMembers, mView, mBurn, mMetrics, mLog);
    }

    private JobRouter router(long nowNanos) {
        RateLimiter budget = RateLimiter.of(mSettings.limits().claimsPerSecond(), nowNanos);
        NameClaims claims = NameClaims.of(mStore, mSeals, mHeld, budget);
        return new JobRouter.Builder()
                .local(mHeld, mJobs)
                .remote(mMembers, mPeerClient, mFinder)
                .store(mSeals, claims, mExecutors.mBlocking)
                .build();
    }

    private AuthorityHandover handOvers() {
        return new AuthorityHandover.Builder()
                .local(mHeld, mJobs, mRecords)
                .remote(mMembers, mPeerClient, mExchange)
                .build(mSeals, mLog);
    }

    private Heartbeats heartbeats() {
        return new Heartbeats.Builder()
                .peers(mSettings.peers(), mMembers, mPeerClient)
                .views(mView, mExchange)
                .demands(mEngine, mBoard)
                .build(mLog);
    }

    private PeerRequests requests() {
        return new PeerRequests(
                mMembers,
                mRouter,
                mRecords,
                mFinder,
                mHandOvers,
                mHeartbeats,
                mExchange,
                mExecutors);
    }

    private HttpFront front() throws IOException {
        ResourceWriter writer = ResourceWriter.of(mStore, mPoller);
        JobRoutes jobs = JobRoutes.of(mRouter, mJobs, mHeld, mLifecycle);
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
        return HttpFront.start(
                mSettings.instance().callerListenAddress(),
                routes,
                mSettings.limits().bodyBytes(),
                mExecutors.mHttp,
                mLog);
    }

    private void scheduleWork() {
        every(Duration.ofMillis(20), mEngine::tick);
        every(Duration.ofMillis(50), mHeartbeats::tick);
        every(Duration.ofMillis(100), mEngine::adjust);
        every(Duration.ofMillis(250), mPublisher::retryWithheld);
        every(Duration.ofMillis(100), this::checkReady);
        every(Duration.ofSeconds(1), this::sweep);
        loop("platform-poller", this::pollInterval, mPoller::poll);
        loop("replica-repair", () -> mSettings.peers().heartbeatInterval(), mRepair::tick);
        loop("seal-keeper", () -> mSettings.platform().pollInterval(), this::keepSeals);
    }

    private void keepSeals() {
        mSeals.tick();
        mHandOvers.retryUnwrittenSeals();
    }

    private void sweep() {
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

    private void checkReady() {
        if (mLifecycle.hasBeenReady() && mRecords.isOpen()) {
            return;
        }
        boolean neighbours =
                mMembers.with(table -> table.allNeighboursAnsweredOrRefused(System.nanoTime()));
        boolean agreed = neighbours && !mExchange.isPulling();
        if (agreed && mView.instanceList().version() > 0) {
            mRecords.open();
        }
        if (mPoller.storeRead() || (mView.completeVersion() > 0 && agreed)) {
            mLifecycle.ready();
        } else {
            mLifecycle.waitFor("configuration from the store or from all neighbours");
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

    private PlatformHttp platform(HostAddress address) {
        return PlatformHttp.of(httpClient(), address, mSettings.platform().callTimeout(), mMetrics);
    }

    private HttpClient httpClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(mExecutors.mWorkers)
                .build();
    }

    private void every(Duration interval, Runnable work) {
        mExecutors.mTimers.scheduleWithFixedDelay(
                () -> guarded(work), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void loop(String name, Supplier<Duration> interval, Runnable work) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!Thread.currentThread().isInterrupted()) {
                                guarded(work);
                                pause(interval.get().toMillis());
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        mCloser.register(thread::interrupt);
    }

    private void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException defect) {
            mLog.event(EventName.DEFECT).error(defect);
        }
    }

    private static boolean await(BooleanSupplier condition, Duration atMost) {
        long endNanos = System.nanoTime() + atMost.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos >= 0 || !pause(PAUSE_MILLISECONDS)) {
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
